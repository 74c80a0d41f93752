package balancer

// recordSent counts an attempt that was sent.
func (b *Instance) recordSent(request *requestState, to int) {
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
	if endpoint.ejected {
		endpoint.probeAt = b.now + endpoint.ejectionTime
	}
}

// recordEnded counts an attempt that is no longer in flight.
func (b *Instance) recordEnded(request *requestState, endpoint *endpointState) {
	request.inFlight--
	endpoint.inFlight--
	*b.inFlightAt(endpoint)--
}

// inFlightAt is the counter of this proxy's attempts in flight that an endpoint belongs to.
func (b *Instance) inFlightAt(endpoint *endpointState) *int {
	if endpoint.Origin {
		return &b.origin.inFlight
	}
	return &b.caches.inFlight
}

// resumePreviousAttempt makes the attempt before the latest one the latest again.
func (r *requestState) resumePreviousAttempt() {
	r.endpoint, r.attempt = r.previousEndpoint, r.attempt-1
}
