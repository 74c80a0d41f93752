package balancer

// Reason is the reason why an attempt is sent or a request is rejected. Logs and metrics use the same text.
type Reason uint8

// Reasons of decisions.
const (
	ReasonNone              Reason = iota // of decisions that have none
	ReasonFirst                           // a request's first attempt
	ReasonCacheMiss                       // an attempt at the origin after a cache miss
	ReasonRetry                           // an attempt after a failed one
	ReasonHedge                           // a second attempt in parallel with a late one
	ReasonDeadline                        // a rejection: the response would be too late
	ReasonAttemptsExhausted               // a rejection: the maximum number of attempts was used
	ReasonRetryForbidden                  // a rejection: it may have run, or the retry budget is exhausted
	ReasonOverload                        // a rejection: the caches are overloaded
	ReasonNoOrigin                        // a rejection: no origin may serve the request
	ReasonOriginQueue                     // a rejection: the wait for the origin would be too long
	ReasonNoEndpoint                      // a rejection: the request may be sent to no endpoint
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
