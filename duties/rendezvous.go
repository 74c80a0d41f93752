package duties

import "github.com/cespare/xxhash/v2"

// mix is the finalizer of splitmix64: a change of one bit of x changes about half of the bits of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// score returns the score of a proxy for a subject in rendezvous hashing. A subject, such as a node, orders the proxies
// by descending score. A proxy that joins or leaves does not change the order of the others.
func score(subject, proxyHash uint64) uint64 { return mix(subject ^ mix(proxyHash)) }

// precedes reports whether one proxy precedes another in the order for a subject.
func precedes(subject uint64, one, other string) bool {
	oneScore, otherScore := score(subject, xxhash.Sum64String(one)), score(subject, xxhash.Sum64String(other))
	return oneScore > otherScore || oneScore == otherScore && one < other
}

// rank returns the number of proxies that precede the named one in the order for a subject.
func (m *membership) rank(subject uint64, name string) int {
	own, before := score(subject, xxhash.Sum64String(name)), 0
	for i, hash := range m.hashes {
		if s := score(subject, hash); s > own || s == own && m.names[i] < name {
			before++
		}
	}
	return before
}
