package balancer

// These methods serve a shadow balancer: one that is given all events of another one and decides, but is
// then told what the other one did. Nothing here decides.

// Decides reports whether the balancer still decides on a request.
func (b *Balancer) Decides(index int) bool { return index < len(b.requests) && b.requests[index].live }

// Release takes a request out of the balancer's hands. It goes on learning from the attempts of the request.
func (b *Balancer) Release(index int) { b.finish(index) }

// RetractAttempt takes back the latest attempt of a request, which this balancer decided on and which was not sent.
func (b *Balancer) RetractAttempt(index int) {
	request := &b.requests[index]
	b.recordEnded(request, &b.endpoints[request.endpoint])
	request.attempts--
	request.resumePreviousAttempt() // if it was a hedged attempt, the first one stands
	request.triedEndpoints = request.triedEndpoints[:len(request.triedEndpoints)-1]
}

// RecordAttempt records an attempt that the other balancer sent.
func (b *Balancer) RecordAttempt(now Time, index, endpoint int) {
	b.now = now
	b.recordSent(&b.requests[index], endpoint)
}

// Load returns how many attempts are in flight at caches, and how many of them the caches answer in time.
func (b *Balancer) Load() (inFlight int, capacity float64) {
	return b.caches.inFlight, b.admission.capacity
}

// IsEjected reports whether an endpoint is ejected.
func (b *Balancer) IsEjected(endpoint int) bool {
	return endpoint < len(b.endpoints) && b.endpoints[endpoint].ejected
}

// InFlight returns how many attempts are in flight, as far as the balancer knows.
func (b *Balancer) InFlight() int { return b.caches.inFlight + b.origin.inFlight }
