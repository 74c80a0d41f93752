package balancer

// Retries, and hedged attempts with them, are bounded by a budget that admitted requests fill: more of them
// would keep up what caused the failures.
type retryBudget float64

const (
	initialRetryBudget  = 5
	maxRetryBudget      = 10
	retriesPerAdmission = 0.1
)

func (b *Balancer) attemptsExhausted() bool { return b.current.attempts >= b.maxAttempts }

// retryForbidden holds for a request that may have run and that may not be sent again, or not by the budget.
// Resets are not bounded by it: where servers close many connections that have been idle, each costs no more
// than the next attempt.
func (b *Balancer) retryForbidden() bool {
	request := b.current
	if !request.mayHaveRun {
		return false
	}
	if b.retryBudget < 1 && !request.wasReset && !request.evacuated {
		return true
	}
	route := &b.routes[request.Route]
	isDropped := route.Effect == Deduped && b.now < request.firstRunAt+route.DedupWindow
	return route.Effect != Retriable && !isDropped
}

// chargeRetry takes an attempt that is being sent from the budget if it is a retry that the budget bounds.
func (b *Balancer) chargeRetry(request *requestState) {
	if request.mayHaveRun && !request.wasReset && !request.evacuated {
		b.retryBudget--
	}
	request.evacuated = false
}

func (r *retryBudget) refill() { *r = min(*r+retriesPerAdmission, maxRetryBudget) }

// inDedupGroup tells whether an endpoint may be sent the current request: it would drop it if it has already
// run.
func (b *Balancer) inDedupGroup(index int) bool {
	request := b.current
	route := &b.routes[request.Route]
	if !request.mayHaveRun || route.Effect != Deduped {
		return true
	}
	switch route.Group {
	case GroupZone:
		return b.endpoints[index].Zone == b.endpoints[request.firstRunEndpoint].Zone
	case GroupCell:
		return b.endpoints[index].Cell == b.endpoints[request.firstRunEndpoint].Cell
	}
	return true
}
