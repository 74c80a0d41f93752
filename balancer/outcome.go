package balancer

const (
	overloadErrorShare = 0.1 // share of errors of all caches above which an error is taken for an overload
	overloadLateShare  = 0.2 // share of late responses of all caches above which a late one is
	overloadAttempts   = 3   // attempts of a request after which a rejection by a cache is
	ejectionErrorShare = 0.4 // share of errors above which a cache may be ejected
	ejectionErrorRatio = 2   // how much more of its responses have to be errors than of all caches'
)

// learn updates what is known of the endpoint, of the caches or the origin, and of their limits by an
// outcome.
func (b *Instance) learn(request *requestState, endpoint *endpointState, a Answer) {
	unanswered := a.Ending == Silent || a.Ending == Undone
	o := outcome{
		Answer: a, request: request, endpoint: endpoint, failedProbe: unanswered && endpoint.ejected,
		responded: a.Ending.isResponse(),
	}
	// an attempt cancelled when its time was up was no less late than one whose own timeout came first
	o.late = a.Ending == Silent || (a.Ending == Completed || a.Ending == Lacking || a.Ending == Undone) &&
		a.Took > b.routes[request.Route].latencyBudget*3/4
	endpoint.overloads.observe(b.now, indicator(a.Ending == NoRoom), 1.0/8, 3*second)
	b.learnLatency(&o)
	b.learnLoad(&o)
	b.learnOriginLimit(&o)
	b.learnResponse(&o)
	b.learnErrors(&o)
	b.learnFailure(&o)
}

func (b *Instance) learnLatency(o *outcome) {
	switch {
	case o.endpoint.Origin && o.Ending == Completed:
		b.origin.observeAnswer(b.now, o.Took)
	case !o.endpoint.Origin && !o.request.needsOrigin && !o.failedProbe:
		b.caches.lateShare.observe(b.now, indicator(o.late), 1.0/64, 10*second)
	}
}

// learnLoad adapts the origin's limit and the caches' capacity. The first case that holds counts.
func (b *Instance) learnLoad(o *outcome) {
	switch {
	case o.endpoint.Origin && o.Ending == Completed && o.Took <= b.origin.objective:
		b.origin.increase()
	case o.endpoint.Origin && b.isOriginOverload(o):
		b.origin.reduce(b.now)
	case o.endpoint.Origin || o.request.needsOrigin || o.failedProbe:
		// no sign that the caches have too much to do
	case o.late || o.Ending == Fault && b.caches.errorShare > overloadErrorShare ||
		o.Ending == NoRoom && o.request.attempts >= overloadAttempts:
		b.observeEndpointLatency(o.endpoint, max(o.Took, b.noResponseTimeout/2), 0.5)
		if b.isCacheOverload(o) {
			b.reduceCapacity()
		}
	case o.Ending == Completed:
		b.increaseCapacity()
		b.observeEndpointLatency(o.endpoint, o.Took, 0.25)
		b.caches.observeLatency(o.Took)
	}
}

// isOriginOverload tells whether an outcome shows that the origin is loaded. One long answer among quick
// ones tells of the work in it, a write's above all, and one that never comes while others do, of its
// connection.
func (b *Instance) isOriginOverload(o *outcome) bool {
	return o.Ending == NoRoom || o.Took > 2*b.origin.objective &&
		(b.origin.latency.value > float64(b.origin.objective) ||
			o.Ending != Completed && o.endpoint.silentSince <= o.request.sentAt)
}

// isCacheOverload tells whether a late or failed outcome shows too much work for all caches. A few endpoints
// that are late among quick ones are passed by and show none, but a fifth of all responses does, though mean
// and lateness drift apart when late attempts end unanswered. Where peers notify of nothing, a fifth may
// come of resets and hung endpoints that each proxy meets for itself.
func (b *Instance) isCacheOverload(o *outcome) bool {
	return o.Ending == NoRoom || o.Ending == Fault || o.endpoint.latency.value < 2*b.caches.meanLatency ||
		b.peerCount > 0 && b.caches.lateShare.value > overloadLateShare
}

func (b *Instance) learnOriginLimit(o *outcome) {
	if o.endpoint.Origin {
		if o.Ending == Completed {
			b.origin.lastGoodLimit += b.origin.limit - b.origin.lastGoodLimit
		}
		b.origin.pace(b.now)
	}
	b.logConstrained()
}

func (b *Instance) learnResponse(o *outcome) {
	if !o.responded {
		return
	}
	o.endpoint.silentSince, o.endpoint.lastResponseAt = b.now, b.now
	if o.endpoint.suspicion > 0 {
		o.endpoint.suspicion = 0
		b.notifyPeers(o.endpoint, true)
	}
}

// learnErrors takes a cache's response into the shares of errors. A cache that fails much of its work, while
// the others do not, is ejected; one that was ejected and does its work is brought back.
func (b *Instance) learnErrors(o *outcome) {
	if !o.responded || o.endpoint.Origin {
		return
	}
	endpoint, isError := o.endpoint, o.Ending == Fault
	b.caches.lastResponseAt = b.now
	if o.Ending != NoRoom {
		b.countCacheResponse(endpoint, isError)
	}
	if isError && endpoint.errorShare > ejectionErrorShare &&
		endpoint.errorShare > ejectionErrorRatio*b.caches.errorShare {
		b.eject(endpoint)
	} else if endpoint.ejected && !isError {
		endpoint.ejected, endpoint.ejectionTime = false, 0
		b.logf("endpoint %d responds again", endpoint.Node)
	}
}

// learnFailure ejects a cache that does not connect, and leaves an ejected endpoint whose probe failed for
// longer.
func (b *Instance) learnFailure(o *outcome) {
	endpoint := o.endpoint
	probeFailed := o.failedProbe && endpoint.silentSince <= o.request.sentAt && b.now >= endpoint.probeAt
	if o.Ending == Unreachable && !endpoint.Origin || probeFailed {
		b.eject(endpoint)
	}
}
