package balancer

// Arrive takes a new request under the given index.
func (b *Instance) Arrive(now Time, index int, e Exchange) []Decision {
	b.begin(now)
	for len(b.requests) <= index {
		b.requests = append(b.requests, requestState{heapIndex: -1})
	}
	request, route := &b.requests[index], &b.routes[e.Route]
	*request = requestState{
		Exchange: e, live: true, unadmitted: true, heapIndex: -1, endpoint: -1, firstRunEndpoint: -1,
		triedEndpoints: request.triedEndpoints[:0],
	}
	request.deadline = now + e.Remaining
	request.giveUpAt = now + route.giveUpAfter - elapsedAtClient(route, &e, b.tick)
	request.objectiveAt = request.giveUpAt - route.giveUpAfter + route.latencyBudget
	request.giveUpAt = min(request.giveUpAt, request.deadline-b.tick)
	request.needsOrigin = e.Write && b.cacheAside
	request.overQuota = b.quota.consume(now, e.Tenant)
	b.pending = append(b.pending, index)
	return b.settle()
}

// Returned reports the end of an upstream attempt.
func (b *Instance) Returned(now Time, a Answer) []Decision {
	b.begin(now)
	request, endpoint := &b.requests[a.Cx], &b.endpoints[a.Node]
	b.recordEnded(request, endpoint)
	if request.inFlight == 1 && a.Node == request.endpoint {
		request.resumePreviousAttempt() // the hedged attempt has ended, and the first one goes on
	}
	b.learn(request, endpoint, a)
	if a.Ending.mayHaveRun() && !request.mayHaveRun {
		request.mayHaveRun, request.firstRunAt, request.firstRunEndpoint = true, request.sentAt, a.Node
	}
	if a.Ending == Lacking {
		request.needsOrigin = true
	}
	request.wasReset = a.Ending == Cut
	if request.leadsFetch && endpoint.Origin {
		b.completeFetch(request)
	}
	if a.Ended && request.live {
		b.finish(a.Cx)
	}
	if request.live {
		b.pending = append(b.pending, a.Cx)
	}
	return b.settle()
}

// sendAttempt sends the current request to an endpoint, with a timeout of the time that is worth waiting.
func (b *Instance) sendAttempt(to int) {
	request := b.current
	b.recordSent(request, to)
	timeout := max(min(request.giveUpAt, request.deadline-b.tick)-b.now, b.tick)
	b.emit(Decision{Act: Send, Cx: b.currentIndex, Node: to, After: timeout})
	b.awaitAttempt()
}

// reject answers at once: with a rejection where trying again is harmless, else with an error.
func (b *Instance) reject() {
	request := b.current
	route := &b.routes[request.Route]
	harmless := route.Effect == Retriable || route.Effect == Deduped && route.Group == GroupAll
	if !harmless && (request.mayHaveRun || request.inFlight > 0) {
		b.emit(Decision{Act: Error, Cx: b.currentIndex})
	} else {
		b.emit(Decision{Act: Shed, Cx: b.currentIndex, After: b.retryAfter()})
	}
	for attempt := request.attempt; attempt > request.attempt-request.inFlight && b.mayCancel; attempt-- {
		b.emit(Decision{Act: Cancel, Cx: b.currentIndex, Leg: attempt})
	}
	b.finish(b.currentIndex)
	b.releaseCurrent()
}

// retryAfter spreads the clients that come back over the later half of what they heed.
func (b *Instance) retryAfter() Time {
	if b.maxRetryAfter == 0 {
		return 0
	}
	return b.maxRetryAfter/2 + Time(b.random.draw()*float64(b.maxRetryAfter/2))
}
