package proxy

import (
	"errors"
	"time"

	"woodproxy/internal/wire"
)

const capacityPollInterval = 10 * time.Millisecond // interval between checks for memory

var errNoMemory = errors.New("no memory for a value in time")

// reserveValue reserves the memory of a written value of n bytes. It returns false if there is none for it; a value of up to
// wire.MaxBufferedValue is always let in.
func (r *Router) reserveValue(n int) (_ *reservation, admitted bool) {
	if n <= wire.MaxBufferedValue {
		r.valueMemory.acquire(n)
	} else if !r.tryAcquireLongValue(n) {
		return nil, false
	}
	return newReservation(r.valueMemory, n), true
}

// tryAcquireLongValue takes n bytes for a long value from the value memory, and reports whether it succeeded.
func (r *Router) tryAcquireLongValue(n int) bool {
	return r.valueMemory.tryAcquireLeaving(int(r.reservedValueBytes.Load()), n)
}

// awaitMemory waits until memory is acquired for the value of a response, which stays in the socket meanwhile. It fails with
// errNoMemory at the given time, or if the attempt is canceled or nobody waits for its value any more.
func awaitMemory(attempt *attempt, until time.Time, tryAcquire func() bool) error {
	for !tryAcquire() {
		if attempt.cancelled.Load() || attempt.request.life.Finished() || time.Now().After(until) {
			return errNoMemory
		}
		time.Sleep(capacityPollInterval)
	}
	return nil
}
