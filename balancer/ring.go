package balancer

import (
	"math"
	"slices"
)

const (
	ringPointsPerEndpoint = 160 // for an endpoint of the reference weight
	boundedLoadFactor     = 2.0 // multiple of the mean number of this proxy's attempts in flight per cache
	// special values of Balancer.candidate, which otherwise is the index of an endpoint
	notSearched = -1
	noEndpoint  = -2
)

// findCandidate walks the ring clockwise from the key to the first cache that can serve the current request.
func (b *Balancer) findCandidate() {
	b.candidate = noEndpoint
	if b.ring.size == 0 {
		return
	}
	walk := b.ring.walkFrom(b.keyPosition())
	b.visitMark++
	lastResort, overloadedOwner := noEndpoint, noEndpoint
	for unvisited := b.ring.caches; unvisited > 0; {
		index, ok := walk.step()
		if !ok {
			break
		}
		endpoint := &b.endpoints[index]
		if endpoint.visitMark == b.visitMark {
			continue
		}
		endpoint.visitMark = b.visitMark
		isOwner := unvisited == b.ring.caches
		unvisited--
		isOverloaded := isOwner && b.exceedsBoundedLoad(endpoint) || b.isLikelyOverloaded(endpoint)
		switch {
		case !b.isEligible(index):
		case b.isUnavailable(endpoint) || isOverloaded || b.isSuspected(endpoint):
			if lastResort == noEndpoint {
				lastResort = index
			}
		case overloadedOwner != noEndpoint:
			b.candidate = overloadedOwner
			if endpoint.latency.value < b.endpoints[overloadedOwner].latency.value/2 {
				b.candidate = index
			}
			return
		case b.isOverloadedOwner(endpoint):
			overloadedOwner = index
		default:
			b.candidate = index
			return
		}
	}
	if b.candidate = lastResort; overloadedOwner != noEndpoint {
		b.candidate = overloadedOwner
	}
}

// keyPosition returns the ring position of the current request's key, or a random position if it has no key.
func (b *Balancer) keyPosition() uint64 {
	if !b.current.HasKey {
		return mixHash(uint64(b.random.draw() * (1 << 53)))
	}
	return mixHash(b.current.Key)
}

// isEligible reports whether the current request may be sent to an endpoint at all.
func (b *Balancer) isEligible(index int) bool {
	endpoint := &b.endpoints[index]
	return !slices.Contains(b.current.triedEndpoints, index) && b.inDedupGroup(index) &&
		!b.isExcluded(endpoint) && !b.slowStartLimited(endpoint)
}

// isSuspected returns true at random, with the probability that suspicion returns for the endpoint.
func (b *Balancer) isSuspected(endpoint *endpointState) bool {
	return endpoint.suspicion > 0 && b.random.draw() < b.suspicion(endpoint)
}

// exceedsBoundedLoad reports whether an endpoint has too many of this proxy's attempts in flight.
func (b *Balancer) exceedsBoundedLoad(endpoint *endpointState) bool {
	bound := boundedLoadFactor*float64(b.caches.inFlight)/float64(b.ring.caches) + 1
	return endpoint.inFlight >= 2 && float64(endpoint.inFlight) > bound
}

// overloadedOwnerFractionFor returns the fraction of a request's remaining time above which the latency of
// the key's owner is too high. It grows with the cost of a fetch, since the key is a miss at the next cache.
func overloadedOwnerFractionFor(fetchCost float64) float64 { return min(0.3+fetchCost, 0.5) }

// isOverloadedOwner reports whether the recent latency of an endpoint takes too much of the current request's
// remaining time, and less suffices for one that this proxy rarely sends to. The next endpoint clockwise then
// serves the request if its latency is below half of that.
func (b *Balancer) isOverloadedOwner(endpoint *endpointState) bool {
	rarity := observationWeight(0, b.responseInterval(), 10*second)
	fraction := max(b.overloadedOwnerFraction-0.15*rarity, 0.3)
	remaining := float64(min(b.current.giveUpAt, b.current.objectiveAt) - b.now)
	return endpoint.latency.value > fraction*remaining &&
		b.now-endpoint.latency.updatedAt < max(3*b.noResponseTimeout, 2*b.responseInterval())
}

// isLikelyOverloaded returns true at random for an endpoint that rejected more than a third of this proxy's
// latest attempts as overloaded, and always for one that rejected nearly all, so that a hot key spreads
// clockwise without a failed attempt at each endpoint. The fraction decays with time.
func (b *Balancer) isLikelyOverloaded(endpoint *endpointState) bool {
	if endpoint.overloads.value < 0.35 {
		return false
	}
	age := float64(b.now-endpoint.overloads.updatedAt) / float64(max(second, b.responseInterval()))
	return b.random.draw() < 2*endpoint.overloads.value*math.Exp2(-age)-0.7
}
