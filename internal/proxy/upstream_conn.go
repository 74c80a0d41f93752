package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	// nonOwnerIdleTimeout is how long a connection may be idle where other proxies have the duty to keep theirs.
	nonOwnerIdleTimeout = time.Second
	upstreamReadBuffer  = 4 << 10 // bytes
)

// upstreamConn is one connection to a host and its goroutine, which alone reads and writes there. The goroutine ends by
// a call of the host's connClosed.
type upstreamConn struct {
	host    *upstreamHost
	addr    string
	reader  *bufio.Reader
	header  []byte      // reused from request to request
	buffers net.Buffers // reused too

	mu            sync.Mutex // guards what follows, by which other goroutines interrupt this one
	conn          net.Conn
	cancelDial    context.CancelFunc // while it is dialed
	assigned      *attempt           // to be carried next
	writing       *attempt           // that is being written
	closeWhenIdle bool
}

// roundTripResult is how an attempt ended on a connection.
type roundTripResult struct {
	attemptResult
	reusable bool  // the connection can carry another attempt
	err      error // why the attempt has no whole response, or nil
}

// assign hands an attempt to an idle connection. Both steps are under one lock, or a late interruption would hit the
// attempt.
func (u *upstreamConn) assign(attempt *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.assigned = attempt
	_ = u.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection, after which connClosed takes the attempt
}

// interrupt ends whatever the connection's goroutine waits for, which then looks for its reason. An idle one that was
// assigned nothing closes.
func (u *upstreamConn) interrupt() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cancelDial != nil {
		u.cancelDial()
	}
	if u.conn != nil {
		_ = u.conn.SetDeadline(pastDeadline) // fails only on a closed connection, on which nothing waits
	}
}

// close closes a connection that is idle or about to be.
func (u *upstreamConn) close() {
	u.mu.Lock()
	u.closeWhenIdle = true
	u.mu.Unlock()
	u.interrupt()
}

// abandonWrite stops the writing of an attempt whose request is finished: no upstream begins a command that does not
// arrive whole.
func (u *upstreamConn) abandonWrite(attempt *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.writing == attempt {
		_ = u.conn.SetWriteDeadline(pastDeadline) // fails only on a closed connection, where the write fails too
	}
}

// takeAssigned returns the attempt that was assigned and not begun, or nil.
func (u *upstreamConn) takeAssigned() *attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.assigned
	u.assigned = nil
	return next
}

// run carries attempts, beginning with the given one, until the connection ends.
func (u *upstreamConn) run(first *attempt) {
	for next := first; next != nil && u.carry(next); {
		next = u.awaitAttempt()
	}
	u.closeConn()
	u.host.mailbox.post(func() { u.host.connClosed(u) })
}

// probe opens the connection, reports whether that succeeded, and keeps it for attempts to come.
func (u *upstreamConn) probe() {
	h, router := u.host, u.host.router
	err := error(&wire.Halt{})
	runRecovered(h.log, router.counters, func() {
		err = u.dial(&attempt{}, time.Now().Add(duration(router.zones.latencyLimit)))
	})
	router.mailbox.post(func() { router.zoneConnectFinished(h.index, err == nil) })
	if err != nil {
		h.mailbox.post(func() { h.connClosed(u) })
		return
	}
	h.mailbox.post(func() { h.connIdle(u) })
	u.run(u.awaitAttempt())
}

// carry sees an attempt through, reports its end to the host, and returns whether the connection can carry another.
func (u *upstreamConn) carry(attempt *attempt) bool {
	h := u.host
	result := roundTripResult{attemptResult: attemptResult{outcome: balancer.Cut}} // stands after a panic
	runRecovered(h.log, h.router.counters, func() { result = u.roundTrip(attempt) })
	if errors.Is(result.err, wire.ErrBytes) {
		u.reportBadBytes(result.err)
	}
	if result.err != nil && attempt.streaming && !errors.Is(result.err, errStreamAbandoned) {
		h.router.counters.Broken.Add(1) // the client's connection ends amid the value
		h.log.Warn("streamed value broke off", zap.Error(result.err))
	}
	if !result.reusable {
		u.closeConn()
	}
	h.mailbox.post(func() { h.attemptFinished(u, attempt, result.attemptResult, result.reusable) })
	return result.reusable
}

// closeConn closes the connection, if it was ever open.
func (u *upstreamConn) closeConn() {
	if u.conn != nil {
		_ = u.conn.Close() // nothing is lost by a failure: the attempt's outcome stands, and nothing more is written
	}
}

// reportBadBytes counts and logs why a connection is closed.
func (u *upstreamConn) reportBadBytes(err error) {
	u.host.router.counters.BadPeer.Add(1)
	u.host.log.Warn("upstream connection closed on bad input", zap.Error(err))
}

// awaitAttempt waits for an attempt to be assigned; nil means that the connection is to end.
func (u *upstreamConn) awaitAttempt() *attempt {
	if next, ready := u.beginIdle(); ready {
		return next
	}
	unexpected, err := u.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return u.takeAssigned()
	}
	if len(unexpected) > 0 {
		u.reportBadBytes(fmt.Errorf("%w: unasked for: %q", wire.ErrBytes, unexpected))
	}
	return nil // or the upstream has closed it
}

// beginIdle sets the deadline by which an idle connection ends. It returns ready if nothing is to be waited for: with
// the attempt that is assigned already, or with nil if the connection is to close.
func (u *upstreamConn) beginIdle() (next *attempt, ready bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if next = u.assigned; next != nil {
		u.assigned = nil
		return next, true
	}
	if u.closeWhenIdle { // interrupted before, which a deadline that is set now would undo
		return nil, true
	}
	var deadline time.Time // zero: the upstream closes idle connections, and does not tell when
	if timeout := u.idleTimeout(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return nil, u.conn.SetReadDeadline(deadline) != nil
}

// idleTimeout returns how long the connection may be idle; 0 means without limit. It is well below the time after which
// the upstream closes it, so that no request crosses the close.
func (u *upstreamConn) idleTimeout() time.Duration {
	timeout := duration(u.host.router.settings.Idle * 2 / 3)
	leftToOthers := u.host.router.duties != nil && u.host.closeIdleSoon.Load()
	if leftToOthers && (timeout == 0 || timeout > nonOwnerIdleTimeout) {
		return nonOwnerIdleTimeout
	}
	return timeout
}

// roundTrip sees one attempt through: it connects if need be, writes the request and reads the response.
func (u *upstreamConn) roundTrip(attempt *attempt) roundTripResult {
	router := u.host.router
	until := time.Now().Add(duration(attempt.sentAt + attempt.timeout - router.clock.Now()))
	reused := u.conn != nil
	if !reused {
		if err := u.connect(attempt, until); err != nil {
			return connectFailure(attempt, err)
		}
	}
	if err := u.conn.SetDeadline(until); err != nil {
		return u.failure(attempt, &wire.Halt{Far: wire.Writing, Err: err})
	}
	switch {
	case attempt.cancelled.Load(): // before the deadline above was set
		return roundTripResult{attemptResult: attemptResult{outcome: balancer.Undone}}
	case reused && u.isStale(): // nothing was sent yet
		u.discardConn()
		return u.roundTrip(attempt)
	case attempt.request.finished.Load(): // while it waited for this connection, which the next attempt may have
		return notSent(true)
	case attempt.startBefore > 0 && router.clock.Now() >= attempt.startBefore:
		return notSent(true)
	case !u.host.ready.Load(): // it drains or has departed since it was chosen; nothing new goes there
		return notSent(false)
	}
	if err := u.writeRequest(attempt); err != nil {
		if attempt.request.finished.Load() {
			return notSent(false)
		}
		return u.failure(attempt, &wire.Halt{Far: wire.Writing, Err: err})
	}
	return u.readResponse(attempt, until)
}

func notSent(reusable bool) roundTripResult {
	return roundTripResult{attemptResult: attemptResult{outcome: balancer.NeverSent}, reusable: reusable}
}

func connectFailure(attempt *attempt, err error) roundTripResult {
	outcome := balancer.Unreachable
	if attempt.cancelled.Load() {
		outcome = balancer.Undone
	}
	return roundTripResult{attemptResult: attemptResult{outcome: outcome}, err: err}
}

// failure returns the result of an attempt that ended without a whole response: what it means depends on how far the
// attempt had come.
func (u *upstreamConn) failure(attempt *attempt, err error) roundTripResult {
	var halt *wire.Halt
	mayHaveRun := errors.As(err, &halt) && halt.Ran()
	outcome := balancer.Cut
	switch {
	case attempt.cancelled.Load():
		outcome = balancer.Undone
	case !mayHaveRun:
		outcome = balancer.Unreachable
	case errors.Is(err, os.ErrDeadlineExceeded):
		outcome = balancer.Silent
	case errors.Is(err, wire.ErrBytes):
		outcome = balancer.Fault
	}
	return roundTripResult{attemptResult: attemptResult{outcome: outcome}, err: err}
}

// connect dials, and reports to the zone controller that a cache accepts connections.
func (u *upstreamConn) connect(attempt *attempt, until time.Time) error {
	if err := u.dial(attempt, until); err != nil {
		return err
	}
	if router, h := u.host.router, u.host; router.zones != nil && !h.isOrigin {
		router.mailbox.post(func() { router.zoneConnectFinished(h.index, true) })
	}
	return nil
}

// dial opens the connection, unless the attempt is cancelled or the time is up before.
func (u *upstreamConn) dial(attempt *attempt, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	u.mu.Lock()
	u.cancelDial = cancel
	u.mu.Unlock()
	if attempt.cancelled.Load() { // before there was a dial to cancel
		cancel()
	}
	conn, err := u.host.router.dialer.DialContext(ctx, "tcp", u.addr)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancelDial = nil
	if err != nil {
		return &wire.Halt{Far: wire.Dialing, Err: err}
	}
	u.conn = conn
	u.reader = bufio.NewReaderSize(conn, upstreamReadBuffer)
	return nil
}

// isStale reports whether there is something to read, or the end of the stream, on a connection that carries no
// request. Bytes behind a good response may arrive once the next attempt is assigned, whose deadline hides them from
// awaitAttempt.
func (u *upstreamConn) isStale() bool {
	if u.reader.Buffered() > 0 || hasUnread(u.conn) {
		u.reportBadBytes(fmt.Errorf("%w: unasked for", wire.ErrBytes))
		return true
	}
	return closedByPeer(u.conn)
}

// discardConn closes the connection so that the next attempt dials anew.
func (u *upstreamConn) discardConn() {
	u.closeConn()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = nil
}

// writeRequest writes a request, its header and value gathered into one write.
func (u *upstreamConn) writeRequest(attempt *attempt) error {
	u.encodeRequest(attempt)
	u.mu.Lock()
	u.writing = attempt
	var err error
	if attempt.request.finished.Load() {
		err = u.conn.SetWriteDeadline(pastDeadline)
	}
	u.mu.Unlock()
	if err == nil {
		buffers := u.buffers // WriteTo consumes the slice that it is called on
		_, err = buffers.WriteTo(u.conn)
	}
	u.mu.Lock()
	u.writing = nil
	u.mu.Unlock()
	return err
}

// encodeRequest sets the buffers that are to be written for an attempt. Caches and the origin alike are told how long
// this attempt waits, and not what the client has said at first.
func (u *upstreamConn) encodeRequest(attempt *attempt) {
	req, h := attempt.request, u.host
	size := -1 // no value
	if req.value != nil {
		size = len(req.value)
	}
	remainingMS := milliseconds(attempt.sentAt + attempt.timeout - h.router.clock.Now())
	facts := wire.AppendFacts(nil, req.facts, max(remainingMS, 1))
	if h.isOrigin {
		u.header = wire.AppendFetch(u.header[:0], u.addr, req.key, req.id, facts, size)
	} else {
		u.header = wire.AppendCommand(u.header[:0], req.name, req.key, req.id, facts, size)
	}
	u.buffers = append(u.buffers[:0], u.header)
	if size > 0 {
		u.buffers = append(u.buffers, req.value)
	}
	if size >= 0 && !h.isOrigin {
		u.buffers = append(u.buffers, crlf)
	}
}

// readResponse reads the response to an attempt that was written.
func (u *upstreamConn) readResponse(attempt *attempt, until time.Time) roundTripResult {
	read := wire.ReadAnswer
	if u.host.isOrigin {
		read = wire.ReadFetched
	}
	answer, err := read(u.reader)
	if err != nil {
		return u.failure(attempt, err)
	}
	if answer.Absent && u.host.router.negativeCache != nil && attempt.request.value == nil {
		attempt.notFound = true
		return roundTripResult{
			attemptResult: attemptResult{outcome: balancer.Completed},
			reusable:      answer.Again && u.reader.Buffered() == 0,
		}
	}
	var value []byte
	if answer.Ending == balancer.Completed {
		if value, err = u.readValue(attempt, &answer, until); err != nil {
			return u.failure(attempt, err)
		}
	}
	if n := u.reader.Buffered(); answer.Again && n > 0 { // it would pass for the response to the next request
		u.reportBadBytes(fmt.Errorf("%w: %d unasked for", wire.ErrBytes, n))
		answer.Again = false
	}
	return roundTripResult{attemptResult: attemptResult{outcome: answer.Ending, value: value}, reusable: answer.Again}
}

// readValue reads the value of a completed attempt: whole if it is short and there is memory for it. Else the value is
// streamed; the request is answered by that, and nil is returned.
func (u *upstreamConn) readValue(attempt *attempt, answer *wire.Answer, until time.Time) ([]byte, error) {
	memory := u.host.router.valueMemory
	_, alreadyRead := answer.Whole()
	switch {
	case alreadyRead:
		memory.acquire(answer.Long)
	case answer.Long <= wire.MaxValue && memory.tryAcquire(answer.Long):
	default:
		if err := u.streamValue(attempt, answer, until); err != nil {
			return nil, err
		}
		return nil, answer.Tail(u.reader)
	}
	value, err := answer.Value(u.reader)
	if err == nil {
		err = answer.Tail(u.reader)
	}
	if err != nil {
		memory.release(answer.Long)
		return nil, err
	}
	return value, nil
}
