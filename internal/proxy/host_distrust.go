package proxy

import (
	"errors"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
)

// Errors that end an attempt whose response may belong to another request.
var (
	errHostDistrusted      = errors.New("response on a used connection of a host that sends surplus responses")
	errInputBehindResponse = errors.New("more input behind a response on a used connection")
)

// distrust records that the host has sent a surplus response. For a period each connection to it carries one request, and
// responses on connections that have carried another are not attributed to a request. Any goroutine may call it.
func (h *upstreamHost) distrust(period time.Duration) {
	until := int64(h.router.clock.Elapsed() + period)
	for before := h.distrustedUntil.Load(); before < until; before = h.distrustedUntil.Load() {
		if !h.distrustedUntil.CompareAndSwap(before, until) {
			continue
		}
		if before == 0 {
			h.router.counters.HostsDistrusted.Add(1)
		}
		break
	}
	h.post(h.closeUsedConns)
}

// isDistrusted reports whether the host has sent a surplus response and is distrusted for it still. Any goroutine may call
// it.
func (h *upstreamHost) isDistrusted() bool {
	until := h.distrustedUntil.Load()
	if until == 0 {
		return false
	}
	if int64(h.router.clock.Elapsed()) < until {
		return true
	}
	h.distrustedUntil.CompareAndSwap(until, 0)
	return false
}

// closeUsedConns closes the idle connections that have carried a request. It runs on the host's goroutine.
func (h *upstreamHost) closeUsedConns() {
	h.closeIdleConnsIf(func(conn *upstreamConn) bool { return conn.served > 0 })
}

// responseConditions returns the conditions under which the response that is being read is attributed to the connection's
// attempt.
func (u *upstreamConn) responseConditions(attempt *attempt) lifecycle.ResponseConditions {
	return lifecycle.ResponseConditions{Served: u.served, HostDistrusted: u.host.isDistrusted(), Repeatable: attempt.effect == balancer.Retriable}
}

// isUnconfirmed reports whether a response that says that its attempt was not executed may not be taken to say so.
func (u *upstreamConn) isUnconfirmed(conditions *lifecycle.ResponseConditions) bool {
	if conditions.MayConfirmNotExecuted().Permitted() {
		return false
	}
	u.host.router.counters.Unconfirmed.Add(1)
	return true
}

// unattributed returns the result of an attempt whose response may belong to another request: the attempt may have run, and
// the connection is closed.
func (u *upstreamConn) unattributed(reason error) roundTripResult {
	u.host.router.counters.Unattributed.Add(1)
	return roundTripResult{attemptResult: attemptResult{outcome: balancer.Reset}, err: reason}
}
