package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"woodproxy/internal/lifecycle"
)

const (
	// holdBackMinSize is the minimum size in bytes of a request whose end is held back. Smaller requests fit into the
	// socket buffer, so that they are written either at once or not at all.
	holdBackMinSize = 64 << 10
	holdBackBytes   = 2 // bytes held back
	// expectedWriteRate is the rate in bytes per second at which an upstream is expected to accept a long value, until a
	// slower rate has been measured.
	expectedWriteRate = 512 << 10
	// maxExpectedFraction is the maximum fraction of the remaining time that is reserved for the expected writing time, and
	// maxReserveFraction the maximum fraction that is reserved in all, measured writing times included.
	maxExpectedFraction = 1.0 / 3
	maxReserveFraction  = 2.0 / 3
)

// writeReserve returns the time that is reserved for writing an attempt of size bytes with the given remaining time.
// Writing may exceed the reserve by lifecycle.MaxWriteDelay. The wait that is sent to the upstream is shorter by the
// reserve: an upstream begins a request when its last byte arrives, and counts the wait from then.
func (r *request) writeReserve(remaining time.Duration, size int) time.Duration {
	if size < holdBackMinSize {
		return 0
	}
	expected := min(time.Duration(size)*time.Second/expectedWriteRate, time.Duration(float64(remaining)*maxExpectedFraction))
	measured := time.Duration(r.longestWrite.Load()) * 5 / 4
	return min(max(expected, measured), time.Duration(float64(remaining)*maxReserveFraction))
}

// writeRequest writes a request, with its header and value gathered into one write. The end of a long request is held
// back until the rest is written, and is written only if the attempt may still begin and the wait sent to the upstream
// is still valid: an upstream does not begin a request that does not arrive completely. Otherwise writeRequest returns
// the reason as a refusal.
func (u *upstreamConn) writeRequest(attempt *attempt, until time.Time) (lifecycle.Refusal, error) {
	u.encodeRequest(attempt)
	began := time.Now()
	limit := began.Add(u.writeReserve + lifecycle.MaxWriteDelay)
	if limit.After(until) {
		limit = until
	}
	u.mu.Lock()
	u.writing = attempt
	if attempt.request.life.Finished() {
		limit = pastDeadline
	}
	err := u.conn.SetWriteDeadline(limit)
	u.mu.Unlock()
	defer u.writingEnded()
	if err != nil {
		return lifecycle.Permitted, err
	}
	buffers := u.buffers // a copy, since WriteTo consumes the slice
	tail := u.holdBack(&buffers)
	if _, err = buffers.WriteTo(u.conn); err == nil && tail != nil {
		conditions := u.conditions(attempt, until)
		conditions.ResponseReceived = peekState(u.conn) == inputUnread
		if refusal := conditions.MayComplete(began.Add(u.writeReserve)); !refusal.Permitted() {
			attempt.request.recordWriteTime(time.Since(began))
			return refusal, nil
		}
		_, err = u.conn.Write(tail)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && limit.Before(until) && !attempt.request.life.Finished() && !attempt.cancelled.Load() {
		attempt.request.recordWriteTime(time.Since(began))
		return lifecycle.DeadlineOutdated, nil
	}
	return lifecycle.Permitted, err
}

// holdBack removes the last bytes from the buffers of a long request and returns them. It returns nil for a short one.
func (u *upstreamConn) holdBack(buffers *net.Buffers) []byte {
	size := 0
	for _, b := range *buffers {
		size += len(b)
	}
	last := len(*buffers) - 1
	if size < holdBackMinSize || len((*buffers)[last]) < holdBackBytes {
		return nil
	}
	end := (*buffers)[last]
	cut := len(end) - holdBackBytes
	(*buffers)[last] = end[:cut]
	return end[cut:]
}

func (u *upstreamConn) writingEnded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing = nil
}

// recordWriteTime records the time spent writing an attempt whose writing was broken off, if it is the longest so far.
func (r *request) recordWriteTime(took time.Duration) {
	for {
		longest := r.longestWrite.Load()
		if int64(took) <= longest || r.longestWrite.CompareAndSwap(longest, int64(took)) {
			return
		}
	}
}
