package proxy

import (
	"time"

	"go.uber.org/zap"
)

// mailbox is a queue of calls that its goroutine executes in order.
type mailbox chan func()

// post adds a call. It blocks while the mailbox is full.
func (m mailbox) post(call func()) { m <- call }

// tryPost adds a call without blocking. It returns false if the mailbox is full.
func (m mailbox) tryPost(call func()) bool {
	select {
	case m <- call:
		return true
	default:
		return false
	}
}

// run executes the calls, and tick at each interval, until the process exits. A panic in a call ends only that call; tick
// must recover from its own panics.
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

// runRecovered executes a call. It recovers from a panic in the call, logs and counts it, and returns false.
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
