package duties

import "testing"

func BenchmarkRank(b *testing.B) {
	members := newMembership(makeMembers(300, 3))
	for b.Loop() {
		members.rank(77, "n7")
	}
}
