package balancer

// Deviations beyond the mean latency of the caches after which nearly all responses have come, and after
// which a response is overdue.
const (
	hedgeDeviations   = 2
	overdueDeviations = 4
)

// responseBound is the mean latency of the caches and so many deviations, the no-response timeout at most.
func (b *Balancer) responseBound(deviations float64) Time {
	bound := Time(b.caches.meanLatency+deviations*b.caches.meanDeviation) + b.tick
	return min(bound, b.noResponseTimeout)
}

// mayHedge holds for a read that a cache has not answered in the time that nearly all take, while the origin
// has capacity and would still answer in time. With little traffic each proxy encounters each hung endpoint
// for the first time, and would lose a request by that.
func (b *Balancer) mayHedge() bool {
	request := b.current
	return request.inFlight == 1 && b.hedging && request.HasKey && !request.Write && !request.needsOrigin &&
		!b.endpoints[request.endpoint].Origin && request.attempts < b.maxAttempts &&
		b.routes[request.Route].Effect == Retriable && b.retryBudget >= 1 && b.now >= b.hedgeAt(request) &&
		b.now+b.origin.expectedLatency() < request.giveUpAt &&
		b.originQueue.length == 0 && b.originHasCapacity()
}

func (b *Balancer) hedge() {
	b.retryBudget--
	b.sendAttempt(b.leastLoadedOrigin(), ReasonHedge)
}

// hedgeAt is when nearly all responses have come, or sooner where the origin's would come too late after
// that.
func (b *Balancer) hedgeAt(request *requestState) Time {
	latest := request.giveUpAt - request.sentAt - b.origin.expectedLatency() - b.tick
	return request.sentAt + min(b.responseBound(hedgeDeviations), max(b.responseBound(1), latest))
}
