package balancer

// maxOriginLimit is the upper bound of one proxy's concurrency limit at the origin.
const maxOriginLimit = 256

// initialOriginLimit returns this proxy's part of sixteen attempts over all proxies, from one to four.
func initialOriginLimit(quotaShare float64) float64 { return min(4, max(16*quotaShare, 1)) }

// setBounds sets the lower bound of the limit to this proxy's part of eight attempts over all proxies, at
// most one, and the low-water mark to half of the initial limit.
func (o *originLimiter) setBounds(quotaShare float64) {
	o.floor, o.lowWater = min(1, 8*quotaShare), initialOriginLimit(quotaShare)/2
}

// scale adjusts the limits to a quota share that has changed by a factor.
func (o *originLimiter) scale(quotaShare, factor float64) {
	o.setBounds(quotaShare)
	o.limit = min(max(o.limit*factor, o.floor), maxOriginLimit)
	o.lastGoodLimit *= factor
}

// expectedLatency returns the mean latency of the origin's responses.
func (o *originLimiter) expectedLatency() Time { return Time(o.latency.value) }

// observeResponse records the latency of a response, whose weight grows with the time since the previous one.
// One that is not late raises the limit to at least half of the last good limit: the timeouts before it were
// caused by the network path to the origin.
func (o *originLimiter) observeResponse(now, latency Time) {
	o.latency.observe(now, float64(latency), 1.0/16, 4*second)
	if latency <= 2*o.objective {
		o.limit = max(o.limit, o.lastGoodLimit/2)
	}
}

// increase raises the limit if more than half of it is in use. An unused limit has not been tested.
func (o *originLimiter) increase() {
	if float64(o.inFlight+1) > o.limit/2 {
		o.limit = min(o.limit+min(o.limit, 1/o.limit), maxOriginLimit)
	}
}

// reduce lowers the limit, at most once within the origin's latency objective.
func (o *originLimiter) reduce(now Time) {
	if now-o.reducedAt <= o.objective {
		return
	}
	factor := 0.7
	if o.limit <= 1 {
		factor = 0.4 // with pauses between attempts there are few outcomes to adapt to
	}
	o.limit, o.reducedAt = max(o.limit*factor, o.floor), now
}

// pace sets the pause after an attempt if the limit is below one.
func (o *originLimiter) pace(now Time) {
	if o.limit < 1 {
		o.nextAttemptAt = now + Time((1/o.limit-1)*float64(o.objective))
	}
}

func (b *Balancer) originHasCapacity() bool {
	o := &b.origin
	return len(b.origins) > 0 && o.inFlight < max(int(o.limit), 1) && b.now >= o.nextAttemptAt
}

func (b *Balancer) canServeQueued() bool { return b.originQueue.length > 0 && b.originHasCapacity() }

func (b *Balancer) canSendToOrigin() bool { return b.current.needsOrigin && b.originHasCapacity() }

// originQueueTooLong reports whether the response would be too late if the current request were queued now.
func (b *Balancer) originQueueTooLong() bool {
	wait := Time((1 + float64(b.originQueue.length)/b.origin.limit) * b.origin.latency.value)
	return b.current.needsOrigin && max(b.now, b.origin.nextAttemptAt)+wait > b.current.giveUpAt
}

func (b *Balancer) enqueueForOrigin() {
	request := b.current
	request.queued = true
	priority := readPriority
	if request.Write {
		priority = writePriority
	}
	b.originQueue.push(priority, b.currentIndex)
	b.leadFetch()
	b.setDeadline(b.currentIndex, request.giveUpAt)
	b.releaseCurrent()
}

// leastLoadedOrigin returns the origin with the fewest attempts in flight that may serve the current request,
// or noEndpoint.
func (b *Balancer) leastLoadedOrigin() int {
	best := noEndpoint
	for _, index := range b.origins {
		if b.inDedupGroup(index) &&
			(best == noEndpoint || b.endpoints[index].inFlight < b.endpoints[best].inFlight) {
			best = index
		}
	}
	return best
}

func (b *Balancer) sendToOrigin() {
	origin := b.leastLoadedOrigin()
	if origin == noEndpoint {
		b.reject(ReasonNoOrigin)
		return
	}
	b.leadFetch()
	// the attempt goes on until the deadline: a late response still fills the cache
	b.current.giveUpAt = b.current.deadline - b.tick
	b.sendAttempt(origin, b.current.attemptReason())
}
