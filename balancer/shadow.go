package balancer

// The methods in this file are for a shadow balancer, which receives all events of another balancer and makes
// decisions. The caller does not carry them out and reports what the other balancer did. No decision is made
// here.

// Decides reports whether the balancer still makes decisions on a request.
func (b *Balancer) Decides(index int) bool { return index < len(b.requests) && b.requests[index].live }

// Release ends the balancer's decisions on a request. It still records the outcomes of its attempts.
func (b *Balancer) Release(index int) { b.finish(index) }

// RetractAttempt undoes a request's latest attempt, which this balancer decided on and which was not sent.
func (b *Balancer) RetractAttempt(index int) {
	request := &b.requests[index]
	b.recordEnded(request, &b.endpoints[request.endpoint])
	request.attempts--
	request.resumePreviousAttempt() // after a hedged attempt the first one is the latest again
	request.triedEndpoints = request.triedEndpoints[:len(request.triedEndpoints)-1]
}

// RecordAttempt records an attempt that the other balancer sent.
func (b *Balancer) RecordAttempt(now Time, index, endpoint int) {
	b.now = now
	b.recordSent(&b.requests[index], endpoint)
}

// Load returns the number of attempts in flight at caches and the capacity, which is the number of them to
// which the caches respond in time.
func (b *Balancer) Load() (inFlight int, capacity float64) {
	return b.caches.inFlight, b.admission.capacity
}

// IsEjected reports whether an endpoint is ejected.
func (b *Balancer) IsEjected(endpoint int) bool {
	return endpoint < len(b.endpoints) && b.endpoints[endpoint].ejected
}

// InFlight returns the number of attempts in flight that the balancer has recorded.
func (b *Balancer) InFlight() int { return b.caches.inFlight + b.origin.inFlight }
