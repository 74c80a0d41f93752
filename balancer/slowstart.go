package balancer

// slowStartLimited reports whether an endpoint in slow start must not be sent another attempt: it has as many
// in flight as its responses allow, or this proxy has used up its part of the budget, which it consumes.
func (b *Balancer) slowStartLimited(endpoint *endpointState) bool {
	age := b.now - endpoint.StartedAt
	if endpoint.StartedAt == 0 || age >= b.slowStart.period {
		return false
	}
	if endpoint.inFlight >= 1+endpoint.responses/4 {
		return true
	}
	b.refillSlowStartBudget(endpoint, age)
	consumed := min(endpoint.slowStartBudget, 1)
	endpoint.slowStartBudget -= consumed
	return b.random.draw() >= consumed // less than one attempt allows one with that probability
}

// refillSlowStartBudget adds the budget for the time since the latest update. The rate is this proxy's part
// of the load that all may send to the endpoint, whose capacity is taken to be a warm one's response rate.
func (b *Balancer) refillSlowStartBudget(endpoint *endpointState, age Time) {
	c := &b.slowStart
	fraction := c.initialFraction + (1-c.initialFraction)*float64(max(age, 0))/float64(c.period)
	warmRate := b.cacheResponseRate() / float64(max(b.ring.caches, 1))
	// no endpoint has a lower capacity than one that serves one request at a time
	minRate := b.quotaShare * fraction * float64(second) / max(b.caches.meanLatency, 1)
	rate := max(0.5*c.overloadMultiple*fraction*warmRate, minRate)
	endpoint.slowStartBudget += rate * float64(b.now-endpoint.budgetUpdatedAt) / float64(second)
	endpoint.budgetUpdatedAt = b.now
	// all proxies may spend their saved budgets at once, so these are limited to what the window allows
	window := rate * float64(c.overloadWindow) / float64(second)
	endpoint.slowStartBudget = min(endpoint.slowStartBudget, 1.5*window, 1+window/4)
}
