package proxy

import (
	"time"

	"go.uber.org/zap"
)

// mailbox holds calls that a goroutine has still to carry out, in order.
type mailbox chan func()

// post adds a call, and waits while the mailbox is full.
func (m mailbox) post(call func()) { m <- call }

// tryPost adds a call without waiting, and returns false if the mailbox is full.
func (m mailbox) tryPost(call func()) bool {
	select {
	case m <- call:
		return true
	default:
		return false
	}
}

// run carries out calls, and a tick at each interval, for as long as the process lives. A panic ends the call that it
// is in; ticks guard themselves.
func (m mailbox) run(log *zap.Logger, counters *Counters, interval time.Duration, tick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case call := <-m:
			runRecovered(log, counters, call)
		case <-ticker.C:
			tick()
		}
	}
}

// runRecovered carries out a call. A panic in it is logged and counted, and ends there; false is returned then.
func runRecovered(log *zap.Logger, counters *Counters, call func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			counters.Panics.Add(1)
			log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	call()
	return true
}
