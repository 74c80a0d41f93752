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

// takeIdleConn removes and returns an idle connection to an address, or nil if none may be used. It is the most recently used
// one that has rested, so that the others become idle long enough to be closed, or else a fresh one. With freshOnly it is a
// fresh one in any case. takeIdleConn closes idle connections to other, former addresses of the host.
func (h *upstreamHost) takeIdleConn(addr string, freshOnly bool) *upstreamConn {
	h.closeConnsToOthers(addr)
	now, chosen := time.Now(), -1
	for i, conn := range slices.Backward(h.idleConns) {
		isFresh := conn.served == 0
		conditions := conn.reuseConditions(now)
		if freshOnly && !isFresh || !conditions.MayReuse().Permitted() {
			continue
		}
		if chosen < 0 || !isFresh {
			chosen = i
		}
		if !isFresh {
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	conn := h.idleConns[chosen]
	h.idleConns = slices.Delete(h.idleConns, chosen, chosen+1)
	return conn
}

// recordResponseTime updates the mean time from an attempt to its response. Any goroutine may call it.
func (h *upstreamHost) recordResponseTime(took time.Duration) {
	mean := h.responseTime.Load()
	if mean == 0 {
		mean = int64(took)
	}
	h.responseTime.Store(mean + (int64(took)-mean)/8)
}

// closeConnsToOthers closes the idle connections to other addresses than the given one.
func (h *upstreamHost) closeConnsToOthers(addr string) {
	h.idleConns = slices.DeleteFunc(h.idleConns, func(conn *upstreamConn) bool {
		if conn.addr != addr {
			conn.close()
		}
		return conn.addr != addr
	})
}
