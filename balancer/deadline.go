package balancer

// maxTimeoutVotes bounds how long a timeout that clients used to give is remembered.
const maxTimeoutVotes = 1000

// newRouteState derives how long an answer is worth waiting for: up to the latency objective, or up to the
// overall timeout where a late answer still earns something.
func newRouteState(r *Route, tick Time, highestValue float64, punctual bool) routeState {
	route := routeState{Route: *r, priorityWeight: r.Value / max(highestValue, 1e-9)}
	route.latencyBudget = r.Objective - 2*tick
	route.giveUpAfter = route.latencyBudget
	if r.LateValue > 0 && !punctual {
		route.giveUpAfter = r.Timeout
	}
	return route
}

// elapsedAtClient returns how long ago the client first sent the request, as far as its remaining time
// shows. First attempts of a route come with the same time left, within two ticks. A later one that shows
// another has what is left of the overall timeout, and its latency objective has been running all along.
func elapsedAtClient(route *routeState, e *Request, tick Time) Time {
	difference := e.RemainingTimeout - route.firstAttemptTimeout
	isUsual := max(difference, -difference) <= 2*tick
	switch {
	case isUsual && e.ClientRetry:
	case isUsual:
		route.timeoutVotes = min(route.timeoutVotes+1, maxTimeoutVotes)
	case e.ClientRetry:
		return max(route.Timeout-e.RemainingTimeout, 0)
	case route.timeoutVotes > 0:
		route.timeoutVotes--
		return max(route.Timeout-e.RemainingTimeout, 0)
	default:
		route.firstAttemptTimeout, route.timeoutVotes = e.RemainingTimeout, 1
	}
	return 0
}

// isPastDeadline holds when an answer would come too late to be worth anything, or for the overall timeout.
func (b *Balancer) isPastDeadline() bool {
	return b.now >= min(b.current.giveUpAt, b.current.deadline-b.tick)
}

// awaitAttempt leaves the current request until its attempt in flight is no longer worth waiting for.
func (b *Balancer) awaitAttempt() {
	request := b.current
	checkAt := min(request.giveUpAt, request.deadline-b.tick)
	if !b.endpoints[request.endpoint].Origin {
		// check whether it may be hedged, whether it is overdue, and again if that could not be told yet
		overdue := b.responseBound(overdueDeviations)
		for _, at := range [...]Time{b.hedgeAt(request), request.sentAt + overdue, b.now + overdue} {
			if at > b.now {
				checkAt = min(checkAt, at)
				break
			}
		}
	}
	b.setDeadline(b.currentIndex, checkAt)
	b.releaseCurrent()
}
