package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"woodproxy/internal/lifecycle"
)

const (
	// heldBackFrom is the size of a request, in bytes, from which on its end is held back: smaller ones are written at
	// once or not at all, since the socket takes them.
	heldBackFrom = 64 << 10
	heldBack     = 2 // bytes
	// expectedWriteRate is how fast long values are taken, in bytes a second, unless it has shown that they are not.
	expectedWriteRate = 512 << 10
	// Parts of what is left that are reserved for the writing at most: by what is expected, and by what was seen.
	maxExpectedPart = 1.0 / 3
	maxReservePart  = 2.0 / 3
)

// writeReserve is for how long the writing of an attempt may take, beyond lifecycle.MaxWriteDelay, when so much is left
// of its time. Upstreams are told so much less: they begin a request as its last byte comes, and count from then.
func (r *request) writeReserve(left time.Duration, size int) time.Duration {
	if size < heldBackFrom {
		return 0
	}
	expected := min(time.Duration(size)*time.Second/expectedWriteRate, time.Duration(float64(left)*maxExpectedPart))
	seen := time.Duration(r.writeTime.Load()) * 5 / 4
	return min(max(expected, seen), time.Duration(float64(left)*maxReservePart))
}

// writeRequest writes a request, its header and value gathered into one write. The end of a long one is held back until
// the rest is written, and is written only if the attempt may still begin and its deadline holds: no upstream begins a
// request that does not arrive whole. A refusal tells that it may not.
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
	buffers := u.buffers // WriteTo consumes the slice that it is called on
	tail := u.holdBack(&buffers)
	if _, err = buffers.WriteTo(u.conn); err == nil && tail != nil {
		conditions := u.conditions(attempt, until)
		if refusal := conditions.MayComplete(began.Add(u.writeReserve)); !refusal.Permitted() {
			attempt.request.noteWriteTime(time.Since(began))
			return refusal, nil
		}
		_, err = u.conn.Write(tail)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && limit.Before(until) && !attempt.request.life.Finished() && !attempt.cancelled.Load() {
		attempt.request.noteWriteTime(time.Since(began))
		return lifecycle.DeadlineOutdated, nil
	}
	return lifecycle.Permitted, err
}

// holdBack takes the last bytes off the buffers of a long request and returns them, nil for a short one.
func (u *upstreamConn) holdBack(buffers *net.Buffers) []byte {
	size := 0
	for _, b := range *buffers {
		size += len(b)
	}
	last := len(*buffers) - 1
	if size < heldBackFrom || len((*buffers)[last]) < heldBack {
		return nil
	}
	end := (*buffers)[last]
	cut := len(end) - heldBack
	(*buffers)[last] = end[:cut]
	return end[cut:]
}

func (u *upstreamConn) writingEnded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing = nil
}

// noteWriteTime notes for how long an attempt was written that was not begun for that.
func (r *request) noteWriteTime(took time.Duration) {
	for {
		longest := r.writeTime.Load()
		if int64(took) <= longest || r.writeTime.CompareAndSwap(longest, int64(took)) {
			return
		}
	}
}
