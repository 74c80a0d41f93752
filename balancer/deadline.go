package balancer

// maxTimeoutVotes limits how long a client timeout that is no longer in use is remembered.
const maxTimeoutVotes = 1000

// newRouteState derives the time for which a response is useful: the latency objective or, if late responses
// have a value, the overall timeout.
func newRouteState(r *Route, tick Time, highestValue float64, punctual bool) routeState {
	route := routeState{Route: *r, priorityWeight: r.Value / max(highestValue, 1e-9)}
	route.latencyBudget = r.Objective - 2*tick
	route.giveUpAfter = route.latencyBudget
	if r.LateValue > 0 && !punctual {
		route.giveUpAfter = r.Timeout
	}
	return route
}

// elapsedAtClient returns the time since the client first sent the request. First attempts of a route arrive
// with the same timeout, within two ticks. A request with another one is taken for a retry by the client,
// whose overall timeout and latency objective have been running since the first attempt.
func elapsedAtClient(route *routeState, e *Request, tick Time) Time {
	timeout := e.RemainingTimeout + e.Waited
	difference := timeout - route.firstAttemptTimeout
	isUsual := max(difference, -difference) <= 2*tick
	switch {
	case isUsual && !e.ClientRetry:
		route.timeoutVotes = min(route.timeoutVotes+1, maxTimeoutVotes)
	case !isUsual && !e.ClientRetry && route.timeoutVotes == 0:
		route.firstAttemptTimeout, route.timeoutVotes = timeout, 1
	case !isUsual:
		if !e.ClientRetry {
			route.timeoutVotes--
		}
		return max(route.Timeout-timeout, 0) + e.Waited
	}
	return e.Waited
}

// isPastDeadline reports whether a response would arrive too late to be useful.
func (b *Balancer) isPastDeadline() bool { return b.now >= b.current.giveUpAt }

// awaitAttempt postpones the current request until the response to its attempt in flight is no longer useful
// or, at a cache, until it may be hedged, then until it is overdue, and again later.
func (b *Balancer) awaitAttempt() {
	request := b.current
	checkAt := request.giveUpAt
	if !b.endpoints[request.endpoint].Origin {
		overdue := b.responseBound(overdueDeviations)
		for _, at := range [...]Time{b.hedgeAt(request), request.sentAt + overdue, b.now + overdue} {
			if at > b.now {
				checkAt = min(checkAt, at)
				break
			}
		}
	}
	b.setDeadline(b.currentIndex, checkAt)
	b.releaseCurrent()
}

// ResponseStarted reports that an endpoint has sent the head of its response to an attempt in flight, but not
// the value. If the response is deliverable, so that the reply can begin before the value is complete, it is
// delivered when the request's time is up. Otherwise, or if the process stops then, it is awaited.
func (b *Balancer) ResponseStarted(now Time, index, from int, deliverable bool) []Decision {
	b.begin(now)
	endpoint := &b.endpoints[from]
	endpoint.silentSince, endpoint.lastResponseAt = now, now
	request := &b.requests[index]
	switch {
	case !request.live || request.streaming || request.attemptInFlightAt(from) == noAttempt:
	case !deliverable || request.deadline >= b.stopsAt:
		request.giveUpAt = request.deadline - b.tick
	case request.respondingFrom == noEndpoint:
		request.respondingFrom = from
	}
	return b.applyRules()
}

// mustDeliver reports whether the current request is out of time while an endpoint is sending its response.
func (b *Balancer) mustDeliver() bool {
	return b.current.respondingFrom != noEndpoint && b.isPastDeadline()
}

// deliver begins the reply with the response that an endpoint is sending, and cancels any other attempt. If
// the response breaks off before the reply has begun, the request is decided on again.
func (b *Balancer) deliver() {
	attempt := b.current.attemptInFlightAt(b.current.respondingFrom)
	b.emit(Decision{Action: Deliver, Request: b.currentIndex, Attempt: attempt})
	b.cancelAttemptsExcept(attempt)
	b.current.streaming = true
	b.clearDeadline(b.currentIndex)
	b.releaseCurrent()
}
