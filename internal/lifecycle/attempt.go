package lifecycle

import "time"

// MaxWriteDelay is for how long the writing of an attempt may take, so that the deadline that it tells holds: upstreams
// may be told at most 0.15 s more than the client has left.
const MaxWriteDelay = 100 * time.Millisecond

// AttemptConditions are what decides whether an attempt may begin, as of the moment before its first byte is written.
type AttemptConditions struct {
	Request        RequestState
	Cancelled      bool // by the balancer
	EndpointReady  bool // it is listed and does not drain
	Now            time.Time
	Deadline       time.Time // of the attempt
	DedupWindowEnd time.Time // until which upstreams drop the attempt as a duplicate; zero: it is the first that may run
}

// MayBegin decides whether an attempt may be written, be it the first, a retry or a hedged one.
func (c *AttemptConditions) MayBegin() Refusal {
	switch {
	case c.Cancelled:
		return AttemptCancelled
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

// MayComplete decides whether the last byte of an attempt may be written, by which the upstream begins it. Writing
// began at an instant, with a deadline told as of then.
func (c *AttemptConditions) MayComplete(began time.Time) Refusal {
	if refusal := c.MayBegin(); refusal != Permitted {
		return refusal
	}
	if c.Now.Sub(began) > MaxWriteDelay {
		return DeadlineOutdated
	}
	return Permitted
}
