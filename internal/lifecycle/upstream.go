package lifecycle

import "time"

// ResponseRest is the time for which an upstream connection is idle after a response before it may carry another attempt.
// Neither RESP2 nor HTTP names the request in a response, so a surplus response that arrives behind the next attempt's last
// byte is taken for that attempt's. Surplus responses that come up to 50 ms late are received within the rest; 10 ms are for
// the network's jitter.
const ResponseRest = 60 * time.Millisecond

// Times after a surplus response of a host for which each connection to the host carries one request. They are longer than
// lulls between bursts of traffic, in which a host that still sends surplus responses shows none.
const (
	// PromptDistrustPeriod follows one that certainly came within ResponseRest: the next one like it harms nobody.
	PromptDistrustPeriod = time.Second
	// DistrustPeriod follows one that came soon behind a response that may itself have been a surplus one.
	DistrustPeriod = 3 * time.Second
	// LateDistrustPeriod follows one that came later than ResponseRest.
	LateDistrustPeriod = time.Minute
)

// SurplusConditions describes a surplus response.
type SurplusConditions struct {
	Served        int           // number of responses that were read on its connection before
	SinceResponse time.Duration // time since the last of them ended
}

// DistrustPeriod returns the time for which the host is distrusted. The surplus response certainly came within ResponseRest
// only behind the first response on its connection. Behind a later one it may also be the true response to a request for which
// a late surplus response was taken.
func (c *SurplusConditions) DistrustPeriod() time.Duration {
	switch {
	case c.SinceResponse > ResponseRest:
		return LateDistrustPeriod
	case c.Served > 1:
		return DistrustPeriod
	}
	return PromptDistrustPeriod
}

// UpstreamConnConditions holds the conditions under which an upstream connection may carry an attempt.
type UpstreamConnConditions struct {
	Served           int           // number of responses that were read on the connection
	SinceResponse    time.Duration // time since the last of them ended
	HostDistrusted   bool          // the host has sent a surplus response and DistrustPeriod is not over
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
	case c.Served > 0 && c.HostDistrusted:
		return HostDistrusted
	case c.Served > 0 && c.SinceResponse < ResponseRest:
		return ResponseRecent
	}
	return Permitted
}

// ResponseConditions holds the conditions under which a response is attributed to the request that was written last on its
// connection.
type ResponseConditions struct {
	Served         int  // number of responses that were read on the connection before
	HostDistrusted bool // the host has sent a surplus response and DistrustPeriod is not over
	Repeatable     bool // the request may be executed more than once
}

// MayAttribute decides whether the response may be attributed to the request. Only the first response on a connection
// certainly belongs to its request; a later one is presumed to, until the host is seen to send surplus responses.
func (c *ResponseConditions) MayAttribute() Refusal {
	if c.Served > 0 && c.HostDistrusted {
		return HostDistrusted
	}
	return Permitted
}

// MayConfirmNotExecuted decides whether a response that says that its request was not executed, as a rejection or a cache
// miss does, may be taken to say so. If not, the request may have been executed: the response may be a surplus one that came
// later than ResponseRest, and the request may be running. A request that may be executed more than once loses nothing by it.
func (c *ResponseConditions) MayConfirmNotExecuted() Refusal {
	if c.Served > 0 && !c.Repeatable {
		return ResponseUncertain
	}
	return c.MayAttribute()
}
