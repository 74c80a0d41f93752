package rebalance

import "math"

const (
	// capacityUnits is the resolution of the knapsack: the capacity is divided into so many units, and sizes are
	// rounded up to them. What is retained therefore never exceeds the capacity, and falls short of the largest
	// possible sum by at most one unit a shard.
	capacityUnits = 16384
	// knapsackYieldInterval is the number of shards between two yields.
	knapsackYieldInterval = 16

	wordBits     = 64
	sumSetLength = capacityUnits/wordBits + 1
)

// sumSet is a bit set of the sums, in units of capacity, that some of the shards add up to.
type sumSet [sumSetLength]uint64

func (s *sumSet) contains(sum int) bool { return s[sum/wordBits]>>(sum%wordBits)&1 == 1 }

// addShifted adds to the set each sum of another one, increased by a size.
func (s *sumSet) addShifted(other *sumSet, size int) {
	words, bits := size/wordBits, uint(size%wordBits)
	for k := sumSetLength - 1; k >= words; k-- {
		shifted := other[k-words] << bits
		if bits > 0 && k > words {
			shifted |= other[k-words-1] >> (wordBits - bits)
		}
		s[k] |= shifted
	}
}

// largest returns the largest sum within the capacity. The set always contains 0.
func (s *sumSet) largest() int {
	for sum := capacityUnits; sum > 0; sum-- {
		if s.contains(sum) {
			return sum
		}
	}
	return 0
}

// splitByCapacity divides the shards of a node into those that stay, of as many bytes as the capacity allows, and those
// that have to leave.
func (p *problem) splitByCapacity(shards []int, capacity int64) (retained, displaced []int) {
	total := int64(0)
	for _, shard := range shards {
		total += p.shards[shard].Bytes
	}
	switch {
	case total <= capacity:
		return shards, nil
	case capacity <= 0:
		return p.splitByEmptiness(shards)
	default:
		return p.splitByKnapsack(shards, capacity)
	}
}

// splitByEmptiness retains only the shards that have no bytes.
func (p *problem) splitByEmptiness(shards []int) (retained, displaced []int) {
	for _, shard := range shards {
		if p.shards[shard].Bytes == 0 {
			retained = append(retained, shard)
		} else {
			displaced = append(displaced, shard)
		}
	}
	return retained, displaced
}

// splitByKnapsack retains the shards of the largest sum within the capacity, so that the fewest bytes leave.
func (p *problem) splitByKnapsack(shards []int, capacity int64) (retained, displaced []int) {
	unitsOf := func(shard int) int {
		return int(math.Ceil(float64(p.shards[shard].Bytes) / float64(capacity) * capacityUnits))
	}
	reachable := make([]sumSet, len(shards)+1) // by number of shards considered
	reachable[0][0] = 1
	for i, shard := range shards {
		reachable[i+1] = reachable[i]
		if size := unitsOf(shard); size <= capacityUnits {
			reachable[i+1].addShifted(&reachable[i], size)
		}
		if i%knapsackYieldInterval == 0 {
			p.yield()
		}
	}
	sum := reachable[len(shards)].largest()
	for i := len(shards) - 1; i >= 0; i-- {
		if reachable[i].contains(sum) { // the sum is reached without this shard
			displaced = append(displaced, shards[i])
		} else {
			retained = append(retained, shards[i])
			sum -= unitsOf(shards[i])
		}
	}
	return retained, displaced
}
