package balancer

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// ringHash computes the positions of an endpoint's ring points: FNV-1a of the name, "#" and the number of the
// point, followed by a mixing step, since FNV alone distributes similar names unevenly. All proxies must
// compute the same positions.
type ringHash struct{ prefix uint64 } // hash of the name and "#"

func newRingHash(name string) ringHash {
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return ringHash{(h ^ '#') * fnvPrime}
}

// at returns the position of the point with the given number.
func (r ringHash) at(number int) uint64 { return mixHash(hashDigits(r.prefix, number)) }

// hashDigits continues an FNV-1a hash with the decimal digits of a number.
func hashDigits(h uint64, number int) uint64 {
	if number >= 10 {
		h = hashDigits(h, number/10)
	}
	return (h ^ uint64('0'+number%10)) * fnvPrime
}

// mixHash is the finisher of splitmix64.
func mixHash(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
