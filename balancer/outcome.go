package balancer

const (
	overloadErrorRate  = 0.1 // error rate of all caches above which an error shows overload
	overloadLateRate   = 0.2 // fraction of late responses of all caches above which a late one shows overload
	overloadAttempts   = 3   // number of a request's attempts from which on a cache's rejection shows overload
	ejectionErrorRate  = 0.4 // error rate above which a cache may be ejected
	ejectionErrorRatio = 2   // minimum ratio of an ejected cache's error rate to that of all caches
)

// recordOutcome updates the statistics of the endpoint and the caches or the origin, and adapts their limits.
func (b *Balancer) recordOutcome(request *requestState, endpoint *endpointState, a AttemptResult) {
	attempt := finishedAttempt{AttemptResult: a, request: request, endpoint: endpoint}
	attempt.failedProbe = endpoint.ejected && (a.Outcome == TimedOut || a.Outcome == Canceled)
	tookLong := a.Latency > b.routes[request.Route].latencyBudget*3/4
	// an attempt that was canceled because its time was up is as late as one whose own timeout expired first
	attempt.late = a.Outcome == TimedOut ||
		tookLong && (a.Outcome == Completed || a.Outcome == CacheMiss || a.Outcome == Canceled)
	endpoint.overloads.observe(b.now, indicator(a.Outcome == Overloaded), 1.0/8, 3*second)
	if endpoint.Origin {
		b.adaptOriginLimit(&attempt)
	} else if !request.needsOrigin && !attempt.failedProbe {
		b.adaptCapacity(&attempt)
	}
	b.logConstrained()
	if a.Outcome.isResponse() {
		b.recordResponse(&attempt)
	}
	b.ejectOnFailure(&attempt)
}

// adaptOriginLimit adapts the origin's limit to the outcome of an attempt there.
func (b *Balancer) adaptOriginLimit(attempt *finishedAttempt) {
	completed := attempt.Outcome == Completed
	if completed {
		b.origin.observeResponse(b.now, attempt.Latency)
	}
	if completed && attempt.Latency <= b.origin.objective {
		b.origin.increase()
	} else if b.isOriginOverload(attempt) {
		b.origin.reduce(b.now)
	}
	if completed {
		b.origin.lastGoodLimit = b.origin.limit
	}
	b.origin.pace(b.now)
}

// adaptCapacity adapts the caches' capacity and mean latencies to the outcome of an attempt at one of them.
func (b *Balancer) adaptCapacity(attempt *finishedAttempt) {
	b.caches.lateRate.observe(b.now, indicator(attempt.late), 1.0/64, 10*second)
	switch {
	case attempt.late || attempt.Outcome == ServerError && b.caches.errorRate > overloadErrorRate ||
		attempt.Outcome == Overloaded && attempt.request.attempts >= overloadAttempts:
		b.observeEndpointLatency(attempt.endpoint, max(attempt.Latency, b.noResponseTimeout/2), 0.5)
		if b.isCacheOverload(attempt) {
			b.reduceCapacity()
		}
	case attempt.Outcome == Completed:
		b.admission.increase(b.caches.inFlight)
		b.observeEndpointLatency(attempt.endpoint, attempt.Latency, 0.25)
		b.caches.observeLatency(attempt.Latency)
	}
}

// isOriginOverload reports whether an outcome shows that the origin is overloaded. A single slow response
// among fast ones is due to the work of its request, and a single missing one to a fault of its connection.
func (b *Balancer) isOriginOverload(attempt *finishedAttempt) bool {
	return attempt.Outcome == Overloaded || attempt.Latency > 2*b.origin.objective &&
		(b.origin.latency.value > float64(b.origin.objective) ||
			attempt.Outcome != Completed && attempt.endpoint.silentSince <= attempt.request.sentAt)
}

// isCacheOverload reports whether a late or failed outcome shows an overload of all caches. Late responses of
// a few endpoints do not, since requests skip these. A high late rate does, even at a low mean latency, which
// late attempts do not enter, but not without notifications from peers: hung endpoints may raise it then.
func (b *Balancer) isCacheOverload(attempt *finishedAttempt) bool {
	return attempt.Outcome == Overloaded || attempt.Outcome == ServerError ||
		attempt.endpoint.latency.value < 2*b.caches.meanLatency ||
		b.peerCount > 0 && b.caches.lateRate.value > overloadLateRate
}

// recordResponse records that an endpoint has sent a response of any kind.
func (b *Balancer) recordResponse(attempt *finishedAttempt) {
	endpoint := attempt.endpoint
	endpoint.silentSince, endpoint.lastResponseAt = b.now, b.now
	if endpoint.suspicion > 0 {
		endpoint.suspicion = 0
		b.notifyPeers(endpoint, true)
	}
	if !endpoint.Origin {
		b.recordErrors(attempt)
	}
}

// recordErrors updates the error rates by a cache's response. A cache that fails many of its requests while
// the others do not is ejected. An ejected cache that responds without an error is returned to service.
func (b *Balancer) recordErrors(attempt *finishedAttempt) {
	endpoint, isError := attempt.endpoint, attempt.Outcome == ServerError
	b.caches.lastResponseAt = b.now
	if attempt.Outcome != Overloaded {
		b.countCacheResponse(endpoint, isError)
	}
	if isError && endpoint.errorRate > ejectionErrorRate &&
		endpoint.errorRate > ejectionErrorRatio*b.caches.errorRate {
		b.eject(endpoint)
	} else if endpoint.ejected && !isError {
		endpoint.ejected, endpoint.probeInterval = false, 0
		b.logf("endpoint %d responds again", endpoint.Index)
	}
}

// ejectOnFailure ejects a cache that cannot be connected to, and extends the ejection after a failed probe.
func (b *Balancer) ejectOnFailure(attempt *finishedAttempt) {
	endpoint := attempt.endpoint
	probeFailed := attempt.failedProbe && b.now >= endpoint.probeAt &&
		endpoint.silentSince <= attempt.request.sentAt
	if attempt.Outcome == ConnectFailed && !endpoint.Origin || probeFailed {
		b.eject(endpoint)
	}
}
