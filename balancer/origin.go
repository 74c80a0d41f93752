package balancer

// maxOriginLimit bounds the concurrency limit of one proxy at the origin.
const maxOriginLimit = 256

// initialOriginLimit is sixteen attempts over all proxies, within one and four of each.
func initialOriginLimit(quotaShare float64) float64 { return min(4, max(16*quotaShare, 1)) }

// setBounds lets the limits of all proxies fall to eight attempts together, but to one each of few proxies.
func (o *originLimiter) setBounds(quotaShare float64) {
	o.floor, o.lowWater = min(1, 8*quotaShare), initialOriginLimit(quotaShare)/2
}

// scale follows a change of the quota share by a factor.
func (o *originLimiter) scale(quotaShare, factor float64) {
	o.setBounds(quotaShare)
	o.limit = min(max(o.limit*factor, o.floor), maxOriginLimit)
	o.lastGoodLimit *= factor
}

// expectedLatency is the mean latency of its answers.
func (o *originLimiter) expectedLatency() Time { return Time(o.latency.value) }

// observeAnswer takes the latency of an answer into account, a rare one more: with many proxies each asks
// the origin once in a second or two, and would learn of an overload when it is over. An answer that is not
// late restores half of the last good limit: what timed out before it was a fault of the way there.
func (o *originLimiter) observeAnswer(now, latency Time) {
	o.latency.observe(now, float64(latency), 1.0/16, 4*second)
	if latency <= 2*o.objective {
		o.limit = max(o.limit, o.lastGoodLimit/2)
	}
}

// increase raises the limit if it is used: what was never used was never tried.
func (o *originLimiter) increase() {
	if float64(o.inFlight+1) > o.limit/2 {
		o.limit = min(o.limit+min(o.limit, 1/o.limit), maxOriginLimit)
	}
}

// reduce lowers the limit, once in the time that an answer should take.
func (o *originLimiter) reduce(now Time) {
	if now-o.reducedAt <= o.objective {
		return
	}
	factor := 0.7
	if o.limit <= 1 {
		factor = 0.4 // with pauses between attempts there are few outcomes to learn from
	}
	o.limit = max(o.limit*factor, o.floor)
	o.reducedAt = now
}

// pace sets the pause after an attempt: of many proxies, one attempt of each at a time is more than a loaded
// origin answers.
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

func (b *Balancer) originIsOpen() bool { return b.current.needsOrigin && b.originHasCapacity() }

// originQueueTooLong holds when the current request, queued now, would be answered too late.
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
	b.setDeadline(b.currentIndex, min(request.giveUpAt, request.deadline-b.tick))
	b.releaseCurrent()
}

// leastLoadedOrigin is the origin with the fewest of this proxy's attempts in flight, noEndpoint if the
// current request may be sent to none.
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
	// let it finish: a late answer still fills the cache, and a cancelled attempt would cost the origin as much
	b.current.giveUpAt = b.current.deadline - b.tick
	b.sendAttempt(origin, b.current.attemptReason())
}
