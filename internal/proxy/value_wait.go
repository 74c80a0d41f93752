package proxy

import (
	"errors"
	"os"
	"time"
)

// awaitValue waits until the first byte of a long value arrives, or until the balancer decides to begin the reply without
// it. The balancer does so when the request is out of time, so the wait outlasts the attempt's own time by stallTimeout
// unless the request is finished otherwise.
func (u *upstreamConn) awaitValue(attempt *attempt, until time.Time) error {
	if u.reader.Buffered() > 0 {
		return nil
	}
	u.reportStarted(attempt, true)
	defer u.endValueWait()
	for limit := until; ; limit = until.Add(stallTimeout) {
		if deliver, err := u.beginValueWait(attempt, limit); deliver || err != nil {
			return err
		}
		_, err := u.reader.Peek(1)
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case attempt.deliver.Load():
			return nil
		case attempt.cancelled.Load(), attempt.request.life.Finished(), !time.Now().Before(until.Add(stallTimeout)):
			return err
		}
	}
}

// beginValueWait sets the read deadline for the wait, unless the reply is to begin at once.
func (u *upstreamConn) beginValueWait(attempt *attempt, limit time.Time) (deliver bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if attempt.deliver.Load() {
		return true, nil
	}
	u.awaitingValue = attempt
	if attempt.cancelled.Load() {
		limit = pastDeadline
	}
	return false, u.conn.SetReadDeadline(limit)
}

func (u *upstreamConn) endValueWait() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.awaitingValue = nil
}

// wakeValueWait ends the wait for the first byte of the attempt's value. It does nothing if the attempt does not wait for
// it. Any goroutine may call it.
func (u *upstreamConn) wakeValueWait(attempt *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.awaitingValue == attempt {
		_ = u.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection, where the read fails too
	}
}
