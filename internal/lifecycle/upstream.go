package lifecycle

import "time"

// ResponseRest is the time for which an upstream connection is idle after a response before it may carry another attempt.
// Neither RESP2 nor HTTP names the request in a response, so a surplus response that arrives behind the next attempt's last
// byte is taken for that attempt's. Surplus responses that come up to 50 ms late are received within the rest; 10 ms are for
// the network's jitter.
const ResponseRest = 60 * time.Millisecond

// UpstreamConnConditions holds the conditions under which an upstream connection may carry an attempt.
type UpstreamConnConditions struct {
	Served           int           // number of responses that were read on the connection
	SinceResponse    time.Duration // time since the last of them ended
	ResponsePending  bool          // the last response was not read completely, or the connection closes after it
	UnexpectedInput  bool          // bytes were received that belong to no response
	ClosedByUpstream bool          // the upstream has closed the connection
}

// MayReuse decides whether the connection may carry another attempt.
func (c *UpstreamConnConditions) MayReuse() Refusal {
	switch {
	case c.UnexpectedInput:
		return UnexpectedInput
	case c.ClosedByUpstream:
		return ConnectionClosed
	case c.ResponsePending:
		return ResponseIncomplete
	case c.Served > 0 && c.SinceResponse < ResponseRest:
		return ResponseRecent
	}
	return Permitted
}
