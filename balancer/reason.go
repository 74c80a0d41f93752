package balancer

// Reason is the reason for which an attempt is sent or a request is rejected. Logs and metrics use the same
// text for it.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonNone is the reason of decisions that have none.
	ReasonNone Reason = iota
	// ReasonFirst is a request's first attempt.
	ReasonFirst
	// ReasonCacheMiss is an attempt at the origin after a cache miss.
	ReasonCacheMiss
	// ReasonRetry is an attempt after a failed one.
	ReasonRetry
	// ReasonHedge is a second attempt in parallel with a late one.
	ReasonHedge
	// ReasonDeadline rejects a request whose response would be too late.
	ReasonDeadline
	// ReasonAttemptsExhausted rejects a request that has used its maximum number of attempts.
	ReasonAttemptsExhausted
	// ReasonRetryForbidden rejects a request that may have been executed and must not be retried, or for which
	// the retry budget is exhausted.
	ReasonRetryForbidden
	// ReasonOverload rejects a request because the caches are overloaded.
	ReasonOverload
	// ReasonNoOrigin rejects a request because no origin may serve it.
	ReasonNoOrigin
	// ReasonOriginQueue rejects a request that would wait too long for the origin.
	ReasonOriginQueue
	// ReasonNoEndpoint rejects a request that may be sent to no endpoint.
	ReasonNoEndpoint
	numReasons
)

// NumReasons is the number of reasons, including ReasonNone.
const NumReasons = int(numReasons)

var reasonNames = [numReasons]string{
	ReasonNone:              "none",
	ReasonFirst:             "first",
	ReasonCacheMiss:         "cache_miss",
	ReasonRetry:             "retry",
	ReasonHedge:             "hedge",
	ReasonDeadline:          "deadline",
	ReasonAttemptsExhausted: "attempts_exhausted",
	ReasonRetryForbidden:    "retry_forbidden",
	ReasonOverload:          "overload",
	ReasonNoOrigin:          "no_origin",
	ReasonOriginQueue:       "origin_queue",
	ReasonNoEndpoint:        "no_endpoint",
}

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string { return reasonNames[r%numReasons] }

// attemptReason returns the reason of the next attempt of a request, unless that is a hedged attempt.
func (r *requestState) attemptReason() Reason {
	switch {
	case r.attempts == 0:
		return ReasonFirst
	case r.missed:
		return ReasonCacheMiss
	}
	return ReasonRetry
}

// rejectFor returns a function that rejects the current request for a reason.
func rejectFor(reason Reason) func(*Balancer) {
	return func(b *Balancer) { b.reject(reason) }
}
