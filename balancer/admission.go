package balancer

const (
	initialCapacity     = 8 // attempts in flight per cache, summed over all proxies
	minCapacity         = 2
	rejectionThreshold  = 0.9 // used fraction of the capacity above which requests are rejected at random
	rejectionSlope      = 4
	rejectionWeightSpan = 1.7  // the priority weight, 1 at most, is subtracted from it
	overloadEnd         = 0.5  // used fraction of the capacity below which the end of an overload is logged
	minReduction        = 0.02 // fraction of the capacity removed by one response that signals overload
	maxReduction        = 0.3
	reductionRate       = 0.8 // capacityReduction is this divided by the responses per second
)

// admit rejects the current request at random under overload, with a probability that falls with the route's
// priority weight, which is reduced over the tenant's quota.
func (b *Balancer) admit() {
	request := b.current
	request.unadmitted = false
	weight := b.routes[request.Route].priorityWeight
	if request.overQuota {
		weight *= b.quota.overQuotaWeight
	}
	load := float64(b.caches.inFlight) / b.admission.capacity
	b.logOverload(load)
	if load > rejectionThreshold &&
		b.random.draw() < rejectionSlope*(load-rejectionThreshold)*(rejectionWeightSpan-weight) {
		b.reject(ReasonOverload)
		return
	}
	b.retryBudget.refill()
}

// increase raises the capacity after a response in time, if more than half of the capacity is in use.
func (a *admissionControl) increase(inFlight int) {
	if float64(inFlight) > a.capacity/2 {
		a.capacity += max(a.capacity*0.002, 0.02)
	}
}

// reduceCapacity lowers the capacity, but not below one attempt per cache, summed over all proxies.
func (b *Balancer) reduceCapacity() {
	used := min(b.admission.capacity, 4*float64(b.caches.inFlight)+8)
	b.admission.capacity = max(used*(1-b.capacityReduction()), minCapacity, float64(b.ring.caches)*b.quotaShare)
}

// capacityReduction returns the fraction of the capacity that one overload signal removes. It grows as the
// response rate falls, so that a proxy with little traffic reduces its capacity within a burst, unless no
// peers report silent endpoints, whose time-outs would then dominate its few responses.
func (b *Balancer) capacityReduction() float64 {
	if b.peerCount == 0 {
		return minReduction
	}
	return min(max(reductionRate/max(b.cacheResponseRate(), 1), minReduction), maxReduction)
}

// scaleCapacity changes the capacity in proportion to the number of serving caches.
func (b *Balancer) scaleCapacity(servingBefore float64) {
	switch {
	case b.ring.servingCaches == 0:
	case servingBefore == 0:
		b.admission.capacity = max(initialCapacity*float64(b.ring.caches)*b.quotaShare, initialCapacity)
	default:
		b.admission.capacity *= b.ring.servingCaches / servingBefore
	}
}
