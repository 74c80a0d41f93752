package lifecycle

import "time"

// MaxWriteDelay is the maximum time that writing an attempt may take. The wait sent to the upstream becomes outdated
// during the write, and it may exceed the client's remaining time by at most 0.15 s.
const MaxWriteDelay = 100 * time.Millisecond

// AttemptConditions holds the conditions under which an attempt may begin, as of the moment before its first byte is
// written.
type AttemptConditions struct {
	Request          RequestState
	Canceled         bool // the balancer has canceled the attempt
	EndpointReady    bool // the endpoint is in the endpoint list and is not draining
	Now              time.Time
	Deadline         time.Time // deadline of the attempt
	ResponseReceived bool      // a response was received before the attempt's last byte was written
	DedupWindowEnd   time.Time // time until which upstreams drop duplicates; zero: no earlier attempt may have run
}

// MayBegin decides whether an attempt may be written. The attempt may be the first, a retry or a hedged attempt.
func (c *AttemptConditions) MayBegin() Refusal {
	switch {
	case c.Canceled:
		return AttemptCanceled
	case c.Request != RequestPending:
		return c.Request.refusal()
	case !c.DedupWindowEnd.IsZero() && !c.Now.Before(c.DedupWindowEnd):
		return DedupWindowClosed
	case !c.EndpointReady:
		return EndpointNotReady
	case !c.Now.Before(c.Deadline):
		return DeadlineExceeded
	}
	return Permitted
}

// MayComplete decides whether the last byte of an attempt may be written. The upstream begins to process the attempt when
// it receives that byte. began is the time at which writing began; the wait sent to the upstream counts from then.
func (c *AttemptConditions) MayComplete(began time.Time) Refusal {
	if refusal := c.MayBegin(); refusal != Permitted {
		return refusal
	}
	if c.ResponseReceived { // an early rejection, or the response to an earlier request
		return UnexpectedInput
	}
	if c.Now.Sub(began) > MaxWriteDelay {
		return DeadlineOutdated
	}
	return Permitted
}
