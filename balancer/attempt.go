package balancer

// finishedAttempt is a finished attempt with the observations derived from its outcome.
type finishedAttempt struct {
	AttemptResult
	request  *requestState
	endpoint *endpointState
	late     bool // timed out, or completed, missed or was canceled after 3/4 of the latency budget
	// failedProbe means that an ejected endpoint did not respond, which is no sign of load on the others.
	failedProbe bool
}

// mayHaveRun reports whether the endpoint may have executed the request.
func (e Outcome) mayHaveRun() bool {
	return e != Overloaded && e != ConnectFailed && e != NotSent && e != CacheMiss
}

// isResponse reports whether the endpoint sent a response of any kind.
func (e Outcome) isResponse() bool {
	return e == Completed || e == CacheMiss || e == ServerError || e == Overloaded
}

// recordSent records that an attempt was sent.
func (b *Balancer) recordSent(request *requestState, to int) {
	endpoint := &b.endpoints[to]
	if endpoint.inFlight == 0 {
		endpoint.silentSince = b.now
	}
	endpoint.inFlight++
	*b.inFlightAt(endpoint)++
	request.inFlight++
	request.previousEndpoint, request.previousAttempt = request.endpoint, request.attempt
	request.attempt = request.attempts
	request.attempts++
	request.endpoint, request.sentAt = to, b.now
	request.triedEndpoints = append(request.triedEndpoints, to)
	b.chargeRetry(request)
	endpoint.delayNextProbe(b.now)
}

// recordEnded records that an attempt is no longer in flight.
func (b *Balancer) recordEnded(request *requestState, endpoint *endpointState) {
	request.inFlight--
	endpoint.inFlight--
	*b.inFlightAt(endpoint)--
}

// inFlightAt returns the counter of this proxy's attempts in flight at caches or at the origin, depending on
// the kind of the endpoint.
func (b *Balancer) inFlightAt(endpoint *endpointState) *int {
	if endpoint.Origin {
		return &b.origin.inFlight
	}
	return &b.caches.inFlight
}
