package balancer

const (
	initialCapacity     = 8 // attempts in flight per cache, over all proxies
	minCapacity         = 2
	rejectionThreshold  = 0.9 // part of the capacity in use from which requests are rejected by chance
	rejectionSlope      = 4
	rejectionWeightSpan = 1.7  // less the priority weight, which is 1 at most
	overloadEnd         = 0.5  // part of the capacity in use below which the log calls an overload ended
	minReduction        = 0.02 // of the capacity for one response that signals an overload
	maxReduction        = 0.3
	reductionRate       = 0.8 // times the responses in a second
)

// admit rejects the current request by chance under overload. Its priority weight counts its value, and less
// of it beyond the tenant's quota.
func (b *Balancer) admit() {
	request := b.current
	request.unadmitted = false
	weight := b.routes[request.Route].priorityWeight
	if request.overQuota {
		weight *= b.quota.overQuotaWeight
	}
	load := float64(b.caches.inFlight) / b.admission.capacity
	b.logOverload(load)
	request.rejected = load > rejectionThreshold &&
		b.random.draw() < rejectionSlope*(load-rejectionThreshold)*(rejectionWeightSpan-weight)
	if !request.rejected {
		b.retryBudget.refill()
	}
}

// increase raises the capacity by a timely response if it is used.
func (a *admissionControl) increase(inFlight int) {
	if float64(inFlight) > a.capacity/2 {
		a.capacity += max(a.capacity*0.002, 0.02)
	}
}

// reduceCapacity follows an overload, down to one attempt at each cache over all proxies.
func (b *Balancer) reduceCapacity() {
	used := min(b.admission.capacity, 4*float64(b.caches.inFlight)+8)
	b.admission.capacity = max(used*(1-b.capacityReduction()), minCapacity, float64(b.ring.caches)*b.quotaShare)
}

// capacityReduction is the part of the capacity that one response takes: the fewer responses there are, the
// more each takes, or a burst is over before a proxy of little traffic has reduced any. That holds only
// where peers notify of silent endpoints: where none do, each proxy encounters every hung endpoint for the
// first time, and its few responses tell of that.
func (b *Balancer) capacityReduction() float64 {
	if b.peerCount == 0 {
		return minReduction
	}
	return min(max(reductionRate/max(b.cacheResponseRate(), 1), minReduction), maxReduction)
}

// scaleCapacity follows the endpoint list: more caches, more capacity.
func (b *Balancer) scaleCapacity(servingBefore float64) {
	switch {
	case b.ring.servingCaches == 0:
	case servingBefore == 0:
		b.admission.capacity = max(initialCapacity*float64(b.ring.caches)*b.quotaShare, initialCapacity)
	default:
		b.admission.capacity *= b.ring.servingCaches / servingBefore
	}
}
