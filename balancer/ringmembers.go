package balancer

import (
	"math"
	"slices"
)

// pointsOf returns the number of ring points that an endpoint should have.
func (b *Balancer) pointsOf(endpoint *endpointState) int {
	switch {
	case !endpoint.Ready || endpoint.Origin:
		return 0
	case b.approximateWeights && endpoint.Weight > 0:
		return max(int(math.Round(ringPointsPerEndpoint*endpoint.Weight/b.ring.referenceWeight)), 1)
	}
	return ringPointsPerEndpoint
}

// setReferenceWeight sets the reference weight, once, to the power of two nearest to the mean weight, which
// is the same at every proxy even if their endpoint lists differ.
func (b *Balancer) setReferenceWeight() {
	sum, caches := 0.0, 0.0
	for i := range b.endpoints {
		if endpoint := &b.endpoints[i]; endpoint.Ready && !endpoint.Origin {
			sum, caches = sum+endpoint.Weight, caches+1
		}
	}
	if sum > 0 {
		b.ring.referenceWeight = math.Exp2(math.Round(math.Log2(sum / caches)))
	}
}

// updateRing updates the ring after changes to some endpoints. The points of a cache depend only on its name
// and weight, so a cache that joins or leaves moves only its own keys.
func (b *Balancer) updateRing(changed []int) {
	servingBefore := b.ring.servingCaches
	if b.ring.referenceWeight == 0 {
		b.setReferenceWeight()
	}
	var changes []ringChange
	for _, index := range changed {
		endpoint := &b.endpoints[index]
		points := b.pointsOf(endpoint)
		if points != endpoint.points {
			changes = append(changes, ringChange{int32(index), endpoint.Name, endpoint.points, points})
		}
		b.countCache(endpoint, points)
		b.updateOrigin(index, endpoint)
	}
	b.ring.update(changes)
	b.scaleCapacity(servingBefore)
}

// countCache updates the ring's counts for an endpoint with the given number of points and excluded fraction.
func (b *Balancer) countCache(endpoint *endpointState, points int) {
	b.ring.count(endpoint, -1)
	endpoint.points, endpoint.countedExclusion = points, endpoint.excludedFraction
	b.ring.count(endpoint, 1)
	if b.ring.excluded == 0 {
		b.ring.servingCaches = float64(b.ring.caches) // no rounding errors of the fractions remain
	}
}

// count adds an endpoint to the counts, if it has points, or removes it if sign is negative.
func (r *ring) count(endpoint *endpointState, sign int) {
	if endpoint.points == 0 {
		return
	}
	r.caches += sign
	r.servingCaches += float64(sign) * (1 - endpoint.countedExclusion)
	if endpoint.countedExclusion > 0 {
		r.excluded += sign
	}
}

// updateOrigin adds an endpoint to the ready origins or removes it. They are sorted by index.
func (b *Balancer) updateOrigin(index int, endpoint *endpointState) {
	i, listed := slices.BinarySearch(b.origins, index)
	switch isReady := endpoint.Ready && endpoint.Origin; {
	case isReady && !listed:
		b.origins = slices.Insert(b.origins, i, index)
	case !isReady && listed:
		b.origins = slices.Delete(b.origins, i, i+1)
	}
}

// removeFromRing removes the points of an endpoint whose index is reassigned.
func (b *Balancer) removeFromRing(index int) {
	endpoint := &b.endpoints[index]
	if endpoint.points > 0 {
		b.ring.update([]ringChange{{int32(index), endpoint.Name, endpoint.points, 0}})
		b.countCache(endpoint, 0)
	}
}
