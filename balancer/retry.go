package balancer

// retryBudget limits retries and hedged attempts to a fraction of the admitted requests.
type retryBudget float64

const (
	initialRetryBudget  = 5
	maxRetryBudget      = 10
	retriesPerAdmission = 0.1
)

func (b *Balancer) attemptsExhausted() bool { return b.current.attempts >= b.maxAttempts }

// retryForbidden reports whether the current request may have been executed and must not be retried, or
// whether the retry budget is exhausted.
func (b *Balancer) retryForbidden() bool {
	request, route := b.current, &b.routes[b.current.Route]
	overBudget := b.retryBudget < 1 && request.chargesRetry()
	isDropped := route.Effect == Deduped && b.now < request.firstRunAt+route.DedupWindow
	return request.mayHaveRun && (overBudget || route.Effect != Retriable && !isDropped)
}

// chargeRetry charges the budget for the attempt being sent if it is a retry to which the budget applies.
func (b *Balancer) chargeRetry(request *requestState) {
	if request.mayHaveRun && request.chargesRetry() {
		b.retryBudget--
	}
	request.evacuated = false
}

// chargesRetry reports whether the retry budget applies to a retry after the latest attempt. It does not
// where the failure is no sign of load.
func (r *requestState) chargesRetry() bool { return !r.wasReset && !r.evacuated && !r.unconfirmed }

func (r *retryBudget) refill() { *r = min(*r+retriesPerAdmission, maxRetryBudget) }

// inDedupGroup reports whether an endpoint may receive the current request: if that is deduped and may have
// been executed, only an endpoint of the same group drops the duplicate.
func (b *Balancer) inDedupGroup(index int) bool {
	request, route := b.current, &b.routes[b.current.Route]
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
