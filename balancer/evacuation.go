package balancer

// SetExclusion keeps a fraction of the keys, 0 to 1, the same at every proxy, away from an endpoint whose
// zone is evacuated. If cancel is set, attempts in flight at the endpoint are canceled.
func (b *Balancer) SetExclusion(now Time, index int, fraction float64, cancel bool) []Decision {
	b.begin(now)
	endpoint := &b.endpoints[index]
	endpoint.excludedFraction, endpoint.evacuating = fraction, cancel
	if cancel && endpoint.inFlight > 0 {
		for i := range b.requests {
			if request := &b.requests[i]; request.live && request.inFlight > 0 && request.endpoint == index {
				b.pending = append(b.pending, i)
			}
		}
	}
	b.updateRing([]int{index})
	return b.applyRules()
}

// isExcluded reports whether the current request's key is kept away from an endpoint.
func (b *Balancer) isExcluded(endpoint *endpointState) bool {
	return endpoint.excludedFraction > 0 &&
		float64(mixHash(mixHash(b.current.Key))>>40) < endpoint.excludedFraction*(1<<24)
}

// mustEvacuate reports whether the current request's attempt in flight must be canceled, because its zone is
// evacuated or it is overdue in a zone that returns to service, and may be sent to any other endpoint.
func (b *Balancer) mustEvacuate() bool {
	request := b.current
	if request.inFlight == 0 || request.evacuated || !b.mayCancel {
		return false
	}
	endpoint, route := &b.endpoints[request.endpoint], &b.routes[request.Route]
	mayResend := route.Effect == Retriable ||
		route.Effect == Deduped && route.Group == GroupAll && b.now < request.sentAt+route.DedupWindow
	return endpoint.evacuating && mayResend && (b.isExcluded(endpoint) || b.isOverdue(endpoint))
}

// cancelForEvacuation cancels the current request's attempt, once. Its retry is not charged to the budget.
func (b *Balancer) cancelForEvacuation() {
	b.current.evacuated = true
	b.emit(Decision{Action: Cancel, Request: b.currentIndex, Attempt: b.current.attempt})
}
