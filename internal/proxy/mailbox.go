// Package proxy keeps in memory what the proxy knows while it runs: the module's actor, one actor for each
// peer (a cache or the origin), one for the list, and the clients' connections. Actors share nothing but the
// calls in each other's mailboxes.
//
// Who may wait for whom: connections wait for peers and the module, the duties for the list and the module, peers and the
// list wait for the module, and the module waits for nobody, so that no ring of full mailboxes can form.
package proxy

import (
	"time"

	"woodproxy/balancer"

	"go.uber.org/zap"
)

// mailbox holds calls that an actor has still to carry out.
type mailbox chan func()

// post waits for room.
func (m mailbox) post(call func()) { m <- call }

// offer does not wait, and tells whether there was room.
func (m mailbox) tryPost(call func()) bool {
	select {
	case m <- call:
		return true
	default:
		return false
	}
}

// guarded carries out a call; a panic in it is logged and ends there.
func runRecovered(log *zap.Logger, count *Counters, call func()) {
	defer func() {
		if p := recover(); p != nil {
			count.Panics.Add(1)
			log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	call()
}

// Clock tells the module's time: the system's when it was made, and the monotonic span since then.
type Clock struct{ base time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns tenths of a millisecond of Unix time; it never goes back.
func (c Clock) Now() balancer.Time {
	return balancer.Time((c.base.UnixMicro() + time.Since(c.base).Microseconds()) / 100)
}

// span turns the module's time into the library's.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// long ago, as a deadline, wakes a connection that is being read.
var pastDeadline = time.Unix(1, 0)
