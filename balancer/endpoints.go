package balancer

func (b *Balancer) updateEndpoint(listed Endpoint, first bool) {
	for len(b.endpoints) <= listed.Index {
		b.endpoints = append(b.endpoints, endpointState{})
	}
	endpoint := &b.endpoints[listed.Index]
	if endpoint.Name != listed.Name {
		b.removeFromRing(listed.Index)
		*endpoint = endpointState{} // the index belonged to another endpoint, whose state does not apply
	}
	if listed.StartedAt == 0 && endpoint.Name == "" && !first {
		listed.StartedAt = b.now // an endpoint that is new to this proxy counts as just started
	}
	if endpoint.Name == "" || listed.StartedAt > endpoint.StartedAt {
		b.restartEndpoint(endpoint)
	}
	listed.StartedAt = max(listed.StartedAt, endpoint.StartedAt)
	endpoint.Endpoint = listed
}

// restartEndpoint resets the state that belongs to an endpoint's previous process and begins its slow start.
func (b *Balancer) restartEndpoint(endpoint *endpointState) {
	endpoint.ejected, endpoint.probeInterval = false, 0
	endpoint.responses, endpoint.errorRate, endpoint.suspicion = 0, 0, 0
	endpoint.latency.value, endpoint.overloads.value = 0, 0
	endpoint.slowStartBudget, endpoint.budgetUpdatedAt = 0, b.now
	endpoint.lastResponseAt = b.now - b.noResponseTimeout - 1
}

// EndpointListFailed reports that polling the endpoint list failed. It is polled again after a second or a
// quarter of the polling interval, whichever is shorter.
func (b *Balancer) EndpointListFailed(now Time) []Decision {
	b.begin(now)
	if b.pollsList {
		b.pollAt = now + min(second, b.pollInterval/4)
	}
	return b.applyRules()
}

func (b *Balancer) pollList() {
	b.pollAt = never
	b.emit(Decision{Action: PollEndpoints})
}
