package balancer

// DelayProbe delays an ejected endpoint's next probe until the given time, because proxies take turns.
func (b *Balancer) DelayProbe(now Time, endpoint int, until Time) []Decision {
	b.begin(now)
	b.endpoints[endpoint].probeAt = until
	return b.applyRules()
}

// isAwaitingOutlier reports whether the current request waits for a cache that is overdue while another cache
// has responded since: it accepts requests without processing them, or is unreachable.
func (b *Balancer) isAwaitingOutlier() bool {
	request := b.current
	if request.inFlight == 0 {
		return false
	}
	endpoint := &b.endpoints[request.endpoint]
	return !endpoint.ejected && !endpoint.Origin && b.isOverdue(endpoint) &&
		b.caches.lastResponseAt > request.sentAt &&
		(endpoint.inFlight >= 2 || b.now-request.sentAt >= b.noResponseTimeout)
}

// isOverdue reports whether the current request's endpoint has sent no response since the attempt was sent,
// for longer than the bound for overdue responses.
func (b *Balancer) isOverdue(endpoint *endpointState) bool {
	sentAt := b.current.sentAt
	return endpoint.silentSince <= sentAt && b.now-sentAt >= b.responseBound(overdueDeviations)
}

// delayNextProbe delays an ejected endpoint's next probe by the probe interval, when one is sent.
func (e *endpointState) delayNextProbe(now Time) {
	if e.ejected {
		e.probeAt = now + e.probeInterval
	}
}

func (b *Balancer) ejectOutlier() { b.eject(&b.endpoints[b.current.endpoint]) }

// isUnavailable reports whether an endpoint is ejected, and its next probe is not due or one is in flight.
func (b *Balancer) isUnavailable(endpoint *endpointState) bool {
	return endpoint.ejected && (b.now < endpoint.probeAt || endpoint.inFlight > 0)
}

// eject restricts an endpoint to probes until it responds. The probe interval doubles with each failure, up
// to four times the shortest one, which is at least the mean time between two responses of a cache to this
// proxy: with a shorter interval each attempt at the endpoint would be a probe.
func (b *Balancer) eject(endpoint *endpointState) {
	shortest := max(b.noResponseTimeout, b.responseInterval())
	endpoint.probeInterval = min(max(2*endpoint.probeInterval, shortest), 4*shortest)
	endpoint.probeAt = b.now + endpoint.probeInterval
	b.notifyPeers(endpoint, false)
	if !endpoint.ejected {
		endpoint.ejected = true
		b.logf("endpoint %d ejected: %d in flight, no response for %d ms, %.0f%% failed", endpoint.Index,
			endpoint.inFlight, (b.now-endpoint.silentSince)/10, 100*endpoint.errorRate)
	}
}
