package balancer

func (b *Instance) updateEndpoint(listed Listing, first bool) {
	for len(b.endpoints) <= listed.Node {
		b.endpoints = append(b.endpoints, endpointState{})
	}
	endpoint := &b.endpoints[listed.Node]
	if endpoint.Name != listed.Name {
		*endpoint = endpointState{} // the index was another's, whose record says nothing of this one
	}
	if listed.Since == 0 && endpoint.Name == "" && !first {
		listed.Since = b.now // newly seen: as good as just started
	}
	if endpoint.Name == "" || listed.Since > endpoint.Since {
		b.restartEndpoint(endpoint)
	}
	listed.Since = max(listed.Since, endpoint.Since)
	endpoint.Listing = listed
}

// restartEndpoint forgets the record of an endpoint's last process and begins its slow start.
func (b *Instance) restartEndpoint(endpoint *endpointState) {
	endpoint.ejected, endpoint.ejectionTime = false, 0
	endpoint.responses, endpoint.errorShare, endpoint.suspicion = 0, 0, 0
	endpoint.latency.value, endpoint.overloads.value = 0, 0
	endpoint.slowStartBudget, endpoint.budgetUpdatedAt = 0, b.now
	endpoint.lastResponseAt = b.now - b.noResponseTimeout - 1
}

// ListFailed reports that polling the list failed. It is polled again well within the interval.
func (b *Instance) ListFailed(now Time) []Decision {
	b.begin(now)
	if b.pollsList {
		b.pollAt = now + min(second, b.pollInterval/4)
	}
	return b.settle()
}

func (b *Instance) pollList() {
	b.pollAt = never
	b.emit(Decision{Act: Follow})
}
