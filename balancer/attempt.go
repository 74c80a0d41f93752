package balancer

// finishedAttempt is the end of an attempt with what is learnt from it.
type finishedAttempt struct {
	AttemptResult
	request   *requestState
	endpoint  *endpointState
	responded bool // the endpoint sent a response of any kind
	late      bool // of the latency objective
	// failedProbe: an ejected endpoint did not answer. That says nothing of the load on the others.
	failedProbe bool
}

// mayHaveRun tells whether an endpoint may have carried out the request.
func (e Outcome) mayHaveRun() bool {
	return e != Overloaded && e != ConnectFailed && e != NotSent && e != CacheMiss
}

// isResponse tells whether the endpoint responded at all.
func (e Outcome) isResponse() bool {
	return e == Completed || e == CacheMiss || e == ServerError || e == Overloaded
}

// recordSent counts an attempt that was sent.
func (b *Balancer) recordSent(request *requestState, to int) {
	endpoint := &b.endpoints[to]
	if endpoint.inFlight == 0 {
		endpoint.silentSince = b.now
	}
	endpoint.inFlight++
	*b.inFlightAt(endpoint)++
	request.inFlight++
	request.attempt, request.previousEndpoint = request.attempts, request.endpoint
	request.attempts++
	request.endpoint, request.sentAt = to, b.now
	request.triedEndpoints = append(request.triedEndpoints, to)
	b.chargeRetry(request)
	endpoint.delayNextProbe(b.now)
}

// recordEnded counts an attempt that is no longer in flight.
func (b *Balancer) recordEnded(request *requestState, endpoint *endpointState) {
	request.inFlight--
	endpoint.inFlight--
	*b.inFlightAt(endpoint)--
}

// inFlightAt is the counter of this proxy's attempts in flight that an endpoint belongs to.
func (b *Balancer) inFlightAt(endpoint *endpointState) *int {
	if endpoint.Origin {
		return &b.origin.inFlight
	}
	return &b.caches.inFlight
}
