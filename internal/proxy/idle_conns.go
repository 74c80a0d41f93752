package proxy

import (
	"slices"
	"time"

	"woodproxy/balancer"

	"golang.org/x/time/rate"
)

const (
	// rejectionMemory is the time after an origin's rejection for which it is expected to reject more attempts.
	rejectionMemory = 5 * time.Second
	// Limits of the fresh connections to an origin that rejects attempts, so that connections do not add to its load.
	freshConnsPerSec = 2
	freshConnBurst   = 4
)

// needsFreshConn reports whether an attempt should be the first on its connection. The request must not be executed twice,
// and a response that says that it was not executed is likely: a miss at a cache, or a rejection at an origin that has
// rejected attempts recently. Only on a fresh connection may such a response be believed.
func (h *upstreamHost) needsFreshConn(attempt *attempt) bool {
	switch {
	case attempt.effect != balancer.NonRetriable:
		return false
	case !h.isOrigin:
		return true
	}
	rejectedAt := h.lastRejection.Load()
	if rejectedAt == 0 || h.router.clock.Elapsed()-time.Duration(rejectedAt) > rejectionMemory {
		return false
	}
	if h.freshConns == nil {
		h.freshConns = rate.NewLimiter(freshConnsPerSec, freshConnBurst)
	}
	return h.freshConns.Allow()
}

// turnInterval is the time that a connection may have been idle to be used in turn. One that has been idle for longer is used
// only if there is no other, so that connections that are not needed become idle long enough to be closed.
const turnInterval = 2 * time.Second

// takeIdleConn removes and returns an idle connection to an address, or nil if none may be used. Connections that have rested
// are used in turn, so that each rests for as long as the traffic permits, and before fresh ones. With freshOnly it is a fresh
// one in any case. takeIdleConn closes idle connections to other, former addresses of the host.
func (h *upstreamHost) takeIdleConn(addr string, freshOnly bool) *upstreamConn {
	h.closeIdleConnsIf(func(conn *upstreamConn) bool { return conn.addr != addr })
	now, inTurn, lastUsed, fresh := time.Now(), -1, -1, -1
	for i, conn := range h.idleConns { // ordered by last use
		conditions := conn.reuseConditions(now)
		switch {
		case !conditions.MayReuse().Permitted():
		case conn.served == 0:
			fresh = i
		case freshOnly:
		default:
			if inTurn < 0 && conditions.SinceResponse < turnInterval {
				inTurn = i
			}
			lastUsed = i
		}
	}
	for _, i := range [...]int{inTurn, lastUsed, fresh} {
		if i >= 0 {
			conn := h.idleConns[i]
			h.idleConns = slices.Delete(h.idleConns, i, i+1)
			return conn
		}
	}
	return nil
}

// recordResponseTime updates the mean time from an attempt to its response. Any goroutine may call it.
func (h *upstreamHost) recordResponseTime(took time.Duration) {
	mean := h.responseTime.Load()
	if mean == 0 {
		mean = int64(took)
	}
	h.responseTime.Store(mean + (int64(took)-mean)/8)
}

// closeIdleConnsIf closes the idle connections that a condition selects.
func (h *upstreamHost) closeIdleConnsIf(selected func(*upstreamConn) bool) {
	h.idleConns = slices.DeleteFunc(h.idleConns, func(conn *upstreamConn) bool {
		closes := selected(conn)
		if closes {
			conn.close()
		}
		return closes
	})
}
