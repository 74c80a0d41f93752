package balancer

import "strconv"

// spot is the place on the ring of a name's point: FNV-1a of name "#" index, mixed well, since alone it spreads
// similar names badly.
func spot(name string, index int) uint64 {
	var digits [20]byte
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	for _, c := range strconv.AppendInt(append(digits[:0], '#'), int64(index), 10) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return mix(h)
}

// mix is the finisher of splitmix64.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// draw returns a number in [0,1) from a permuted congruential generator (PCG, XSH RR).
func (b *Instance) draw() float64 {
	s := b.chance
	b.chance = s*6364136223846793005 + 1442695040888963407
	v, r := uint32((s>>18^s)>>27), uint32(s>>59)
	return float64(v>>r|v<<(-r&31)) / (1 << 32)
}
