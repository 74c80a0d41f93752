package balancer

// Arrive reports a new client request, which the caller identifies by the given index from now on.
func (b *Balancer) Arrive(now Time, index int, e Request) []Decision {
	b.begin(now)
	for len(b.requests) <= index {
		b.requests = append(b.requests, requestState{heapIndex: -1})
	}
	request, route := &b.requests[index], &b.routes[e.Route]
	*request = requestState{
		Request: e, live: true, unadmitted: true, heapIndex: -1, endpoint: -1, firstRunEndpoint: -1,
		respondingFrom: noEndpoint, triedEndpoints: request.triedEndpoints[:0],
	}
	request.deadline = min(now+e.RemainingTimeout, b.stopsAt)
	request.giveUpAt = now + route.giveUpAfter - elapsedAtClient(route, &e, b.tick)
	request.objectiveAt = request.giveUpAt - route.giveUpAfter + route.latencyBudget
	request.giveUpAt = min(request.giveUpAt, request.deadline-b.tick)
	request.needsOrigin = e.Write && b.cacheAside
	request.overQuota = b.quota.consume(now, e.Tenant)
	b.pending = append(b.pending, index)
	return b.applyRules()
}

// AttemptFinished reports the end of an upstream attempt.
func (b *Balancer) AttemptFinished(now Time, a AttemptResult) []Decision {
	b.begin(now)
	request, endpoint := &b.requests[a.Request], &b.endpoints[a.Endpoint]
	b.recordEnded(request, endpoint)
	if a.Endpoint == request.respondingFrom {
		request.respondingFrom, request.streaming = noEndpoint, false
	}
	if request.inFlight == 1 && a.Endpoint == request.endpoint {
		request.resumePreviousAttempt() // the hedged attempt has ended; the first one is still in flight
	}
	b.recordOutcome(request, endpoint, a)
	request.unconfirmed = a.Unconfirmed
	if (a.Outcome.mayHaveRun() || a.Unconfirmed) && !request.mayHaveRun {
		request.mayHaveRun, request.firstRunAt, request.firstRunEndpoint = true, request.sentAt, a.Endpoint
	}
	request.missed, request.wasReset = a.Outcome == CacheMiss, a.Outcome == Reset
	request.needsOrigin = request.needsOrigin || request.missed
	if request.leadsFetch && endpoint.Origin {
		b.completeFetch(request)
	}
	if request.live && a.Replied {
		b.finish(a.Request)
	} else if request.live {
		b.pending = append(b.pending, a.Request)
	}
	return b.applyRules()
}

// sendAttempt sends the current request to an endpoint. The attempt times out when a response is no longer
// useful, but not in less than a tick.
func (b *Balancer) sendAttempt(to int, reason Reason) {
	b.recordSent(b.current, to)
	timeout := max(b.current.giveUpAt-b.now, b.tick)
	b.emit(Decision{Action: Send, Request: b.currentIndex, Endpoint: to, After: timeout, Reason: reason})
	b.awaitAttempt()
}

// reject ends the current request at once and without a response: with a rejection if a retry by the client
// is harmless, otherwise with an error. It cancels the attempts in flight if the settings allow that.
func (b *Balancer) reject(reason Reason) {
	request := b.current
	route := &b.routes[request.Route]
	harmless := route.Effect == Retriable || route.Effect == Deduped && route.Group == GroupAll
	if !harmless && (request.mayHaveRun || request.inFlight > 0) {
		b.emit(Decision{Action: Error, Request: b.currentIndex, Reason: reason})
	} else {
		b.emit(Decision{Action: Shed, Request: b.currentIndex, After: b.retryAfter(), Reason: reason})
	}
	b.cancelAttemptsExcept(noAttempt)
	b.finish(b.currentIndex)
	b.releaseCurrent()
}

// noAttempt is not the number of any attempt.
const noAttempt = -1

// cancelAttemptsExcept cancels the current request's attempts in flight but one, if the settings allow that.
func (b *Balancer) cancelAttemptsExcept(kept int) {
	for _, attempt := range b.current.attemptsInFlight() {
		if attempt != kept && b.mayCancel {
			b.emit(Decision{Action: Cancel, Request: b.currentIndex, Attempt: attempt})
		}
	}
}

// retryAfter returns a random Retry-After between half of maxRetryAfter and all of it, so that the retries of
// rejected clients are spread over time. It returns 0 if no Retry-After is sent.
func (b *Balancer) retryAfter() Time {
	if b.maxRetryAfter == 0 {
		return 0
	}
	return b.maxRetryAfter/2 + Time(b.random.draw()*float64(b.maxRetryAfter/2))
}
