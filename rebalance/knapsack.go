package rebalance

import "math"

const (
	// capacityUnits is the number of units into which the capacity of the knapsack is divided. Sizes are rounded up to
	// whole units. The sum of the retained shards therefore never exceeds the capacity, and falls short of the largest
	// possible sum by at most one unit per shard.
	capacityUnits = 16384
	// knapsackYieldInterval is the number of shards between two calls of problem.yield.
	knapsackYieldInterval = 16

	wordBits     = 64
	sumSetLength = capacityUnits/wordBits + 1
)

// sumSet is a bit set of the sums, in units of capacity, of all subsets of the shards considered.
type sumSet [sumSetLength]uint64

func (s *sumSet) contains(sum int) bool { return s[sum/wordBits]>>(sum%wordBits)&1 == 1 }

// addShifted adds to the set each sum of another set increased by a size.
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

// largest returns the largest sum in the set that is within the capacity. The set always contains 0.
func (s *sumSet) largest() int {
	for sum := capacityUnits; sum > 0; sum-- {
		if s.contains(sum) {
			return sum
		}
	}
	return 0
}

// splitByCapacity divides the shards of a node into retained shards, with as many bytes as fit into the capacity, and
// displaced shards, which have to leave the node.
func (p *problem) splitByCapacity(shards []int, capacity int64) (retained, displaced []int) {
	total := int64(0)
	for _, shard := range shards {
		total += p.shards[shard].Bytes
	}
	switch {
	case total <= capacity:
		return shards, nil
	case capacity <= 0:
		return p.splitByZeroSize(shards)
	default:
		return p.splitByKnapsack(shards, capacity)
	}
}

// splitByZeroSize retains only the shards of size 0.
func (p *problem) splitByZeroSize(shards []int) (retained, displaced []int) {
	for _, shard := range shards {
		if p.shards[shard].Bytes == 0 {
			retained = append(retained, shard)
		} else {
			displaced = append(displaced, shard)
		}
	}
	return retained, displaced
}

// splitByKnapsack retains the shards with the largest total size that fits into the capacity, so that the fewest bytes
// are displaced.
func (p *problem) splitByKnapsack(shards []int, capacity int64) (retained, displaced []int) {
	unitsOf := func(shard int) int {
		return int(math.Ceil(float64(p.shards[shard].Bytes) / float64(capacity) * capacityUnits))
	}
	reachable := make([]sumSet, len(shards)+1) // by number of shards considered: the sums of their subsets
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
