package proxy

import (
	"slices"
	"time"

	"woodproxy/internal/lifecycle"
)

// maxWaitInResponses is the longest wait for a connection that rests, in multiples of the host's mean time to a response.
const maxWaitInResponses = 2

// restQueue holds the attempts at a host that could be carried by a connection that still rests. Only the host's goroutine
// uses it.
type restQueue struct {
	waiting []*attempt // each has a timer that calls sendWaiting
	dialing []*attempt // each has a connection that is being dialed
	moving  bool       // a call of moveDialing is scheduled
}

// waitForRest makes an attempt wait for a connection that rests and that no other attempt waits for, if that is short beside a
// response: a new connection would cost the server a handshake, and takes about as long. It returns false if there is no such
// connection. An attempt waits at most once.
func (h *upstreamHost) waitForRest(attempt *attempt) bool {
	if attempt.hasWaited {
		return false
	}
	remaining, ok := h.remainingRest(len(h.rests.waiting))
	if !ok || remaining > maxWaitInResponses*time.Duration(h.responseTime.Load()) {
		return false
	}
	attempt.hasWaited = true
	h.rests.waiting = append(h.rests.waiting, attempt)
	time.AfterFunc(remaining, func() { h.post(h.sendWaiting) })
	return true
}

// remainingRest returns the time until the next connection may be reused, when the first n of those that rest are left to
// others. It returns false if there is none.
func (h *upstreamHost) remainingRest(n int) (time.Duration, bool) {
	now := time.Now()
	for _, conn := range h.idleConns { // those that have rested longest come first
		conditions := conn.reuseConditions(now)
		if conditions.MayReuse() != lifecycle.ResponseRecent {
			continue
		}
		if n == 0 {
			return lifecycle.ResponseRest - conditions.SinceResponse, true
		}
		n--
	}
	return 0, false
}

// sendWaiting sends the attempt that has waited longest.
func (h *upstreamHost) sendWaiting() {
	if len(h.rests.waiting) == 0 {
		return
	}
	next := h.rests.waiting[0]
	h.rests.waiting = slices.Delete(h.rests.waiting, 0, 1)
	h.send(next)
}

// firstInLine returns the attempt that a connection should carry if one that is being sent could have it: the one that has
// waited longest, whose place in the queue the other takes.
func (h *upstreamHost) firstInLine(attempt *attempt) *attempt {
	if attempt.hasWaited || len(h.rests.waiting) == 0 {
		return attempt
	}
	first := h.rests.waiting[0]
	attempt.hasWaited = true
	h.rests.waiting = append(slices.Delete(h.rests.waiting, 0, 1), attempt)
	return first
}

// recordDialing records an attempt whose connection is being dialed. Another connection carries it if one has rested before.
func (h *upstreamHost) recordDialing(attempt *attempt) {
	h.rests.dialing = append(h.rests.dialing, attempt)
	h.scheduleMove()
}

// scheduleMove schedules a call of moveDialing for the time at which the next connection has rested.
func (h *upstreamHost) scheduleMove() {
	if h.rests.moving || len(h.rests.dialing) == 0 {
		return
	}
	if remaining, ok := h.remainingRest(len(h.rests.waiting)); ok {
		h.rests.moving = true
		time.AfterFunc(remaining, func() { h.post(h.moveDialing) })
	}
}

// moveDialing assigns attempts whose connections are still being dialed to connections that have rested. The new connections
// become idle when they are established.
func (h *upstreamHost) moveDialing() {
	h.rests.moving = false
	for len(h.rests.dialing) > 0 {
		next := h.rests.dialing[0]
		if next.conn == nil || !next.conn.isDialing() {
			h.rests.dialing = slices.Delete(h.rests.dialing, 0, 1)
			continue
		}
		conn := h.takeIdleConn(*h.addr.Load(), false)
		if conn == nil {
			break
		}
		h.rests.dialing = slices.Delete(h.rests.dialing, 0, 1)
		// The dial refers to the attempt, and so to its request's value, until it ends.
		value := next.request.valueMemory
		value.retain()
		if !next.conn.moveAttempt() { // the connection was established just now
			value.release()
			h.connIdle(conn)
			continue
		}
		next.conn = conn
		conn.assign(next)
	}
	h.scheduleMove()
}

// forgetDialing removes an attempt that has ended from those whose connections are being dialed.
func (h *upstreamHost) forgetDialing(attempt *attempt) {
	if i := slices.Index(h.rests.dialing, attempt); i >= 0 {
		h.rests.dialing = slices.Delete(h.rests.dialing, i, i+1)
	}
}

// isDialing reports whether the connection is being dialed and has an attempt to carry then.
func (u *upstreamConn) isDialing() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.dialEnded && !u.attemptMoved
}

// moveAttempt takes the connection's first attempt from it. It returns false if the dial has ended before.
func (u *upstreamConn) moveAttempt() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attemptMoved = !u.dialEnded
	return u.attemptMoved
}

// endDial records that the dial has ended, and returns whether the attempt was moved to another connection before.
func (u *upstreamConn) endDial() (moved bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	moved = u.attemptMoved
	u.dialEnded, u.attemptMoved = true, false
	return moved
}
