package balancer

import "math"

const second = Time(10000)

// count adds to the rate of the caches' answers, which fades: half is gone in seven seconds. What there
// was no time yet to count is made up for.
func (b *Instance) count(more float64) float64 {
	b.answered = b.answered*fade(b.now-b.rateAt) + more
	b.rateAt = b.now
	return b.answered * 0.1 / max(1-fade(b.now-b.began), 0.01)
}

func one(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func fade(gone Time) float64 { return math.Exp2(-float64(gone) / float64(7*second)) }

// weight is what a sight counts in a mean: the longer since the last one, the more.
func weight(least float64, gap, span Time) float64 {
	return min(max(least, float64(gap)/float64(span)), 1)
}

// slows notes what a node's answer took.
func (b *Instance) slows(n *node, took, least float64) {
	n.slow += (took - n.slow) * weight(least, b.now-n.slowAt, 10*second)
	n.slowAt = b.now
}

// meetings is the mean time between two of this proxy's answers from one cache.
func (b *Instance) meetings() Time {
	return Time(float64(second) * float64(b.caches) / max(b.count(0), 1))
}
