package balancer

// Numbers of mean deviations above the mean latency of the caches.
const (
	hedgeDeviations   = 2 // within which nearly all responses arrive
	overdueDeviations = 4 // beyond which a response is overdue
)

// responseBound returns the caches' mean latency plus some deviations, up to the no-response timeout.
func (b *Balancer) responseBound(deviations float64) Time {
	bound := Time(b.caches.meanLatency+deviations*b.caches.meanDeviation) + b.tick
	return min(bound, b.noResponseTimeout)
}

// mayHedge reports whether the current request is hedged at the origin: it is a read, its cache has not
// responded in the time in which nearly all do, and the origin has capacity and would still respond in time.
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

// hedgeAt returns the time at which a request is hedged: when nearly all responses have arrived, or earlier,
// from one deviation on, if the origin's response would then come too late.
func (b *Balancer) hedgeAt(request *requestState) Time {
	latest := request.giveUpAt - request.sentAt - b.origin.expectedLatency() - b.tick
	return request.sentAt + min(b.responseBound(hedgeDeviations), max(b.responseBound(1), latest))
}
