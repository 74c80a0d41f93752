package balancer

// Reason is why an attempt is sent or a request rejected. Its text is the same in logs and metrics.
type Reason uint8

// Reasons of decisions.
const (
	// ReasonNone stands with decisions that have no reason of their own.
	ReasonNone Reason = iota
	// ReasonFirst is a request's first attempt.
	ReasonFirst
	// ReasonCacheMiss is an attempt at the origin for what a cache lacks.
	ReasonCacheMiss
	// ReasonRetry is an attempt after one that failed.
	ReasonRetry
	// ReasonHedge is an attempt beside one that is late.
	ReasonHedge
	// ReasonDeadline rejects a request whose answer would come too late.
	ReasonDeadline
	// ReasonAttemptsExhausted rejects a request that has had as many attempts as it may.
	ReasonAttemptsExhausted
	// ReasonRetryForbidden rejects a request that may have run and may not be sent again, or not by the budget.
	ReasonRetryForbidden
	// ReasonOverload rejects a request because the caches have too much to do.
	ReasonOverload
	// ReasonNoOrigin rejects a request because there is no origin for it.
	ReasonNoOrigin
	// ReasonOriginQueue rejects a request that would wait too long for the origin.
	ReasonOriginQueue
	// ReasonNoEndpoint rejects a request that no endpoint may be sent.
	ReasonNoEndpoint
	numReasons
)

// NumReasons is the number of reasons, ReasonNone included.
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

// String returns the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r%numReasons] }

// attemptReason is why the current request is sent to an endpoint that it has not waited for.
func (r *requestState) attemptReason() Reason {
	switch {
	case r.attempts == 0:
		return ReasonFirst
	case r.missed:
		return ReasonCacheMiss
	}
	return ReasonRetry
}

// rejectFor returns what rejects the current request for a reason.
func rejectFor(reason Reason) func(*Balancer) {
	return func(b *Balancer) { b.reject(reason) }
}
