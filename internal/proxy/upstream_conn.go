package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	// nonOwnerIdleTimeout is the idle timeout of connections to a host for which other proxies have the duty to keep
	// idle connections.
	nonOwnerIdleTimeout = time.Second
	upstreamReadBuffer  = 4 << 10 // size in bytes of the buffer for responses
)

// upstreamConn is one connection to a host and its goroutine, which is the only one to read from and write to the
// connection. The goroutine ends with a call to the host's connClosed.
type upstreamConn struct {
	id         uint64 // number of the connection in the process
	host       *upstreamHost
	addr       string
	reader     *bufio.Reader
	header     []byte      // reused for each request
	buffers    net.Buffers // reused for each request
	sentWaitMS int         // wait in milliseconds that was sent to the upstream with the attempt
	// The responses that were read on the connection.
	served         int           // number of complete responses
	lastRequestID  []byte        // ID of the request of the latest one
	lastResponseAt time.Time     // end of the latest one
	restedFor      time.Duration // time that the connection had rested when the current attempt was written; 0: it is the first
	use            connUse       // of the current attempt; zero before it is written
	// writeReserve is the part of the attempt's remaining time that is reserved for writing the request. The wait that
	// is sent to the upstream is shorter than the remaining time by this reserve.
	writeReserve time.Duration

	mu            sync.Mutex // guards the fields below, by which other goroutines interrupt this one
	conn          net.Conn
	cancelDial    context.CancelFunc // set while the connection is dialed
	assigned      *attempt           // next attempt of the connection
	dialEnded     bool               // the first dial has ended
	attemptMoved  bool               // the attempt that the connection was dialed for was moved to another one
	writing       *attempt           // attempt that is being written
	awaitingValue *attempt           // attempt that waits for the first byte of its value
	closeWhenIdle bool
}

// assign assigns an attempt to an idle connection. Both steps are done under one lock; otherwise a late interruption
// could hit the attempt.
func (u *upstreamConn) assign(attempt *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.assigned = attempt
	_ = u.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection, after which connClosed takes the attempt
}

// interrupt ends any dial, read or write that the connection's goroutine waits for. The goroutine then checks for the
// reason. An idle connection without an assigned attempt closes.
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

// abandonWrite stops the writing of an attempt whose request is finished. An upstream does not execute a command that
// does not arrive completely.
func (u *upstreamConn) abandonWrite(attempt *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.writing == attempt {
		_ = u.conn.SetWriteDeadline(pastDeadline) // fails only on a closed connection, where the write fails too
	}
}

// takeAssigned removes and returns the attempt that was assigned but not begun, or nil.
func (u *upstreamConn) takeAssigned() *attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.assigned
	u.assigned = nil
	return next
}

// run executes attempts, beginning with the given one, until the connection ends.
func (u *upstreamConn) run(first *attempt) {
	for next := first; next != nil && u.runAttempt(next); {
		next = u.awaitAttempt()
	}
	u.closeConn()
	u.host.post(func() { u.host.connClosed(u) })
}

// probe opens the connection, reports to the zone health whether that succeeded, and keeps the connection for later
// attempts.
func (u *upstreamConn) probe() {
	h, router := u.host, u.host.router
	err := error(&wire.AttemptError{}) // the result if the call panics
	runRecovered(h.router.log, router.counters, func() {
		err = u.dial(&attempt{}, time.Now().Add(duration(router.zones.latencyLimit)))
	})
	if !isLocalError(err) { // a local error is no evidence about the server
		router.mailbox.post(func() { router.zoneConnectFinished(h.index, err == nil) })
	}
	if err != nil {
		h.post(func() { h.connClosed(u) })
		return
	}
	h.post(func() { h.connIdle(u) })
	u.run(u.awaitAttempt())
}

// runAttempt executes an attempt and reports its result to the host. It returns whether the connection can be reused.
func (u *upstreamConn) runAttempt(attempt *attempt) bool {
	h := u.host
	result := roundTripResult{attemptResult: attemptResult{outcome: balancer.Reset}} // the result if the call panics
	u.use = connUse{}
	runRecovered(h.router.log, h.router.counters, func() { result = u.roundTrip(attempt) })
	result.conn = u.use
	if result.moved {
		attempt.request.valueMemory.release()
		return u.endMoved(result.err)
	}
	if errors.Is(result.err, wire.ErrProtocol) {
		u.reportBadBytes(result.err)
	}
	if result.err != nil && attempt.streaming && !errors.Is(result.err, errStreamAbandoned) {
		h.router.counters.Broken.Add(1) // the client's connection is closed amid the value
		h.log().Warn("streamed value broke off", zap.Error(result.err))
	}
	if !result.reusable {
		u.closeConn()
	}
	h.post(func() { h.attemptFinished(u, attempt, result.attemptResult, result.reusable) })
	return result.reusable
}

// endMoved reports to the host that the connection, which was dialed for an attempt that has been moved to another one, is
// idle. It returns false if the dial has failed.
func (u *upstreamConn) endMoved(err error) (established bool) {
	if err == nil {
		u.host.post(func() { u.host.connIdle(u) })
	}
	return err == nil
}

// closeConn closes the connection, if it was ever open.
func (u *upstreamConn) closeConn() {
	if u.conn != nil {
		_ = u.conn.Close() // a failure loses nothing: the attempt has its outcome, and nothing more is written
	}
}

// reportBadBytes counts and logs that the connection is closed because of invalid input.
func (u *upstreamConn) reportBadBytes(err error) {
	u.host.router.counters.BadPeer.Add(1)
	u.host.log().Warn("upstream connection closed on bad input", zap.Error(err))
}

// awaitAttempt waits until an attempt is assigned and returns it. It returns nil if the connection must be closed.
func (u *upstreamConn) awaitAttempt() *attempt {
	if next, ready := u.beginIdle(); ready {
		return next
	}
	_, err := u.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return u.takeAssigned()
	}
	if u.reader.Buffered() > 0 {
		u.reportSurplus(surplusResponse{phase: surplusIdle, prefix: u.inputPrefix()})
	}
	return nil // unexpected input, or the upstream has closed the connection
}

// beginIdle sets the deadline at which the idle connection closes. It returns ready if there is nothing to wait for:
// next is then the attempt that is already assigned, or nil if the connection must be closed.
func (u *upstreamConn) beginIdle() (next *attempt, ready bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if next = u.assigned; next != nil {
		u.assigned = nil
		return next, true
	}
	if u.closeWhenIdle { // a new deadline would undo the interruption by close
		return nil, true
	}
	var deadline time.Time // zero: none; the upstream closes idle connections after an unknown time
	if timeout := u.idleTimeout(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return nil, u.conn.SetReadDeadline(deadline) != nil
}

// idleTimeout returns the connection's idle timeout; 0 means no limit. It is well below the idle timeout of the
// upstream, so that no request is sent while the upstream closes the connection.
func (u *upstreamConn) idleTimeout() time.Duration {
	timeout := duration(u.host.router.settings.ServerIdleTimeout * 2 / 3)
	leftToOthers := u.host.router.duties != nil && u.host.closeIdleSoon.Load()
	if leftToOthers && (timeout == 0 || timeout > nonOwnerIdleTimeout) {
		return nonOwnerIdleTimeout
	}
	return timeout
}
