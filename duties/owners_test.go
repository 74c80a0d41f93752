package duties

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// makeMembers returns proxies n0, n1, ... that are alive and distributed round-robin over zones.
func makeMembers(count, zones int) []Proxy {
	all := make([]Proxy, count)
	for i := range all {
		all[i] = Proxy{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprint("z", i%max(zones, 1)), Alive: true}
	}
	return all
}

func makeSubjects(count int) []uint64 {
	all := make([]uint64, count)
	for i := range all {
		all[i] = mix(uint64(i) + 77)
	}
	return all
}

// findAssignmentFault returns a description of the first fault of an assignment, or "" if there is none. Faults are a
// subject with too few owners or with the same owner twice, and a load above the limit.
func findAssignmentFault(m *membership, assignment [][]int32, ownerCount int) string {
	proxies := m.size()
	loads := make([]int, proxies)
	for subject, owners := range assignment {
		if len(owners) != min(ownerCount, proxies) {
			return fmt.Sprintf("subject %d: got %d of %d owners", subject, len(owners), ownerCount)
		}
		for i, p := range owners {
			if slices.Contains(owners[:i], p) {
				return fmt.Sprintf("subject %d has the same owner twice", subject)
			}
			loads[p]++
		}
	}
	mean := float64(ownerCount) * float64(len(assignment)) / float64(proxies)
	if highest := slices.Max(loads); float64(highest) > math.Ceil(1.25*mean) && ownerCount < proxies {
		return fmt.Sprintf("%d proxies, %d subjects: got highest load %d, want at most a quarter above the mean of %.2f",
			proxies, len(assignment), highest, mean)
	}
	return ""
}

// At every fleet size, each subject has the configured number of owners, and no load is more than a quarter above the
// mean.
func TestOwnersAreComplete(t *testing.T) {
	for _, proxies := range []int{1, 2, 3, 4, 5, 7, 8, 12, 24, 60, 300, 1000, 2000} {
		for _, subjects := range []int{1, 3, 14, 90, 200} {
			if proxies*subjects > 200000 && testing.Short() {
				continue
			}
			t.Run(fmt.Sprintf("%d proxies, %d subjects", proxies, subjects), func(t *testing.T) {
				m := newMembership(makeMembers(proxies, 3))
				if fault := findAssignmentFault(m, m.assignOwners(makeSubjects(subjects), 4), 4); fault != "" {
					t.Error(fault)
				}
			})
		}
	}
}

func TestOwnersAreCompleteInAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(2, 60).Draw(t, "proxies")
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		ownerCount := rapid.IntRange(1, 6).Draw(t, "owners")
		members := makeMembers(proxies, zones)
		for i := range members { // any proxy but the first may have departed, including the first or last of a zone
			members[i].Alive = i == 0 || rapid.IntRange(0, 3).Draw(t, "alive") > 0
		}
		m := newMembership(members)
		subjects := makeSubjects(rapid.IntRange(1, 40).Draw(t, "subjects"))
		if fault := findAssignmentFault(m, m.assignOwners(subjects, ownerCount), ownerCount); fault != "" {
			t.Fatal(fault)
		}
	})
}

// A proxy alone in its zone owns a part of each subject until it is at capacity. If the proxies below capacity are then
// fewer than the owners of the last subjects, one of them gets more than its capacity. Guards against this at all sizes
// of small fleets.
func TestOwnersOfLastSubjectsAreBelowCapacity(t *testing.T) {
	for proxies := 2; proxies <= 12; proxies++ {
		for zones := 1; zones <= 6; zones++ {
			m := newMembership(makeMembers(proxies, zones))
			for ownerCount := 1; ownerCount <= 6; ownerCount++ {
				for subjects := 1; subjects <= 40; subjects++ {
					assignment := m.assignOwners(makeSubjects(subjects), ownerCount)
					if fault := findAssignmentFault(m, assignment, ownerCount); fault != "" {
						t.Errorf("%d zones, %d owners: %s", zones, ownerCount, fault)
					}
				}
			}
		}
	}
}

// findAssignmentFault finds loads above the limit: with plain rendezvous hashing the first proxies in the order own a
// subject regardless of their loads.
func TestUnboundedLoadsAreFound(t *testing.T) {
	const ownerCount = 4
	m := newMembership(makeMembers(24, 3))
	assignment := make([][]int32, 200)
	for s, subject := range makeSubjects(200) {
		for i, name := range m.names {
			if m.rank(subject, name) < ownerCount {
				assignment[s] = append(assignment[s], int32(i))
			}
		}
	}
	if findAssignmentFault(m, assignment, ownerCount) == "" {
		t.Error("got no fault for unbounded loads, want one")
	}
}

func TestOwnersAreSpreadOverZones(t *testing.T) {
	const zoneCount = 3
	m := newMembership(makeMembers(60, zoneCount))
	for subject, owners := range m.assignOwners(makeSubjects(50), zoneCount) {
		zones := map[int]bool{}
		for _, p := range owners {
			zones[m.zones[p]] = true
		}
		if len(zones) != zoneCount {
			t.Errorf("subject %d: got owners %v in %d zones, want owners in all zones", subject, owners, len(zones))
		}
	}
}

// ownership is an assignment and the membership to which its indexes refer.
type ownership struct {
	members *membership
	owners  [][]int32
}

func assign(proxies []Proxy, subjects []uint64, ownerCount int) ownership {
	m := newMembership(proxies)
	return ownership{m, m.assignOwners(subjects, ownerCount)}
}

// countMoved returns the number of owners in one assignment that do not own the same subject in a later assignment.
func countMoved(before, after ownership) int {
	moved := 0
	for subject, owners := range before.owners {
		for _, p := range owners {
			name := before.members.names[p]
			stays := func(q int32) bool { return after.members.names[q] == name }
			if !slices.ContainsFunc(after.owners[subject], stays) {
				moved++
			}
		}
	}
	return moved
}

// When a proxy leaves, the subjects that it owned move, and some others due to the limit of loads: on average over all
// fleet sizes at most twice as many as it owned. Even where the capacity changes, a single departure moves at most a
// fifth of all ownerships beyond one and a quarter times those of the departed proxy.
func TestLeavingProxyMovesLittle(t *testing.T) {
	const ownerCount = 4
	subjects := makeSubjects(90)
	ownerships := float64(ownerCount * len(subjects))
	sumOfRatios, changes := 0.0, 0
	for proxies := 4; proxies <= 160; proxies += 3 {
		meanLoad := ownerships / float64(proxies)
		before := assign(makeMembers(proxies, 3), subjects, ownerCount)
		for _, leaving := range []int{0, proxies / 2, proxies - 1} {
			remaining := makeMembers(proxies, 3)
			remaining[leaving].Alive = false
			moved := float64(countMoved(before, assign(remaining, subjects, ownerCount)))
			sumOfRatios += moved / meanLoad
			changes++
			if moved > 1.25*meanLoad+0.2*ownerships {
				t.Errorf("%d proxies: when proxy %d leaves, got %v of %v ownerships moved, want fewer",
					proxies, leaving, moved, ownerships)
			}
		}
	}
	if mean := sumOfRatios / float64(changes); mean > 2 {
		t.Errorf("got %.2f times the mean load moved by a proxy that leaves, on average; want at most 2", mean)
	}
}

func BenchmarkAssignOwners(b *testing.B) {
	members, subjects := newMembership(makeMembers(300, 3)), makeSubjects(200)
	for b.Loop() {
		members.assignOwners(subjects, 4)
	}
}
