package balancer

import "strconv"

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// ringPosition hashes one point of an endpoint on to the ring: FNV-1a of name "#" index, then mixed, since
// FNV alone spreads similar names badly. All proxies have to agree on it.
func ringPosition(name string, index int) uint64 {
	var digits [20]byte
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	for _, c := range strconv.AppendInt(append(digits[:0], '#'), int64(index), 10) {
		h = (h ^ uint64(c)) * fnvPrime
	}
	return mixHash(h)
}

// mixHash is the finisher of splitmix64.
func mixHash(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
