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

// dropAfter is for how long a connection may stand idle where other proxies keep theirs.
const nonOwnerIdleTimeout = time.Second

// link is one connection to a peer and its goroutine, which alone reads and writes there.
type upstreamConn struct {
	host    *upstreamHost
	addr    string
	reader  *bufio.Reader
	header  []byte
	buffers net.Buffers

	mu            sync.Mutex // for what follows, by which others wake it
	conn          net.Conn
	cancelDial    context.CancelFunc // ends the dialling
	assigned      *attempt           // to be carried next
	writing       *attempt           // that is being written
	closeWhenIdle bool               // it is to close once it carries nothing
}

// give hands over a try to a connection that is idle. Both steps are one, or a late wake would hit the try.
func (u *upstreamConn) assign(attempt *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.assigned = attempt
	u.conn.SetReadDeadline(pastDeadline)
}

// wake interrupts whatever the connection's goroutine waits for; it then looks what is wanted of it. An idle
// one that was handed nothing closes.
func (u *upstreamConn) interrupt() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cancelDial != nil {
		u.cancelDial()
	}
	if u.conn != nil {
		u.conn.SetDeadline(pastDeadline)
	}
}

// close ends a connection that is idle, or just falls so.
func (u *upstreamConn) close() {
	u.mu.Lock()
	u.closeWhenIdle = true
	u.mu.Unlock()
	u.interrupt()
}

// take returns the try that was handed over, if any.
func (u *upstreamConn) takeAssigned() *attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	attempt := u.assigned
	u.assigned = nil
	return attempt
}

// run carries tries, beginning with t, until the connection ends.
func (u *upstreamConn) run(attempt *attempt) {
	host := u.host
	for again := true; again && attempt != nil; {
		outcome, value, err := balancer.Cut, []byte(nil), error(nil)
		again = false
		runRecovered(host.log, host.router.counters, func() { outcome, value, again, err = u.roundTrip(attempt) })
		if errors.Is(err, wire.ErrBytes) {
			u.reportBadBytes(err)
		}
		if err != nil && attempt.streaming && !errors.Is(err, errStreamAbandoned) { // the client's connection ends amid the value
			host.router.counters.Broken.Add(1)
			host.log.Warn("a value broke off", zap.Error(err))
		}
		if !again && u.conn != nil {
			u.conn.Close()
		}
		carried := attempt
		host.mailbox.post(func() { host.attemptFinished(u, carried, outcome, value, again) })
		if again {
			attempt = u.awaitAttempt()
		}
	}
	if u.conn != nil {
		u.conn.Close()
	}
	host.mailbox.post(func() { host.connClosed(u) })
}

// knock sees whether a connection comes up, and keeps it for a try to come.
func (u *upstreamConn) probe() {
	host := u.host
	err := error(&wire.Halt{})
	runRecovered(host.log, host.router.counters, func() { err = u.dial(&attempt{}, time.Now().Add(duration(host.router.zones.latencyLimit))) })
	host.router.mailbox.post(func() { host.router.zoneConnectFinished(host.index, err == nil) })
	if err != nil {
		host.mailbox.post(func() { host.connClosed(u) })
		return
	}
	host.mailbox.post(func() { host.connIdle(u) })
	u.run(u.awaitAttempt())
}

// distrust tells of a connection that is ended for what came on it.
func (u *upstreamConn) reportBadBytes(err error) {
	u.host.router.counters.BadPeer.Add(1)
	u.host.log.Warn("connection ended", zap.Error(err))
}

// wait stays until a try is handed over; nil means that the connection has ended or stood idle too long.
func (u *upstreamConn) awaitAttempt() *attempt {
	u.mu.Lock()
	attempt := u.assigned
	u.assigned = nil
	idle := duration(u.host.router.settings.Idle * 2 / 3)
	if d := u.host.router.duties; d != nil && u.host.closeIdleSoon.Load() && (idle == 0 || idle > nonOwnerIdleTimeout) {
		idle = nonOwnerIdleTimeout
	}
	switch {
	case attempt != nil:
	case u.closeWhenIdle: // told before this one waited, and a deadline set now would undo that
		u.mu.Unlock()
		return nil
	case idle > 0:
		u.conn.SetReadDeadline(time.Now().Add(idle))
	default: // not told: the other side closes it
		u.conn.SetReadDeadline(time.Time{})
	}
	u.mu.Unlock()
	if attempt != nil {
		return attempt
	}
	b, err := u.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return u.takeAssigned()
	}
	if len(b) > 0 {
		u.reportBadBytes(fmt.Errorf("%w: unasked for: %q", wire.ErrBytes, b))
	}
	return nil // or closed by the other side
}

// carry sees one try through: connect if need be, write it, read its answer.
func (u *upstreamConn) roundTrip(attempt *attempt) (outcome balancer.Ending, value []byte, again bool, err error) {
	r := u.host.router
	until := time.Now().Add(duration(attempt.sentAt + attempt.timeout - r.clock.Now()))
	fresh := u.conn == nil
	if fresh {
		if err := u.dial(attempt, until); err != nil {
			if attempt.cancelled.Load() {
				return balancer.Undone, nil, false, err
			}
			return balancer.Unreachable, nil, false, err
		}
		if r.zones != nil && !u.host.isOrigin {
			r.mailbox.post(func() { r.zoneConnectFinished(u.host.index, true) })
		}
	}
	u.conn.SetDeadline(until)
	switch {
	case attempt.cancelled.Load(): // called off before the deadline above was set
		return balancer.Undone, nil, false, nil
	case !fresh && u.isStale(): // closed meanwhile, or bytes came that would pass for the answer; nothing was sent yet
		u.conn.Close()
		u.mu.Lock()
		u.conn = nil
		u.mu.Unlock()
		return u.roundTrip(attempt)
	case attempt.request.finished.Load(): // while it waited for its connection, which the next may have
		return balancer.NeverSent, nil, true, nil
	case attempt.startBefore > 0 && r.clock.Now() >= attempt.startBefore:
		return balancer.NeverSent, nil, true, nil
	case !u.host.ready.Load(): // it drains or is gone since the module chose it; nothing new goes there
		return balancer.NeverSent, nil, false, nil
	}
	if err := u.writeRequest(attempt); err != nil {
		if attempt.request.finished.Load() {
			return balancer.NeverSent, nil, false, nil
		}
		return u.classifyError(attempt, &wire.Halt{Far: wire.Writing, Err: err})
	}
	read := wire.ReadAnswer
	if u.host.isOrigin {
		read = wire.ReadFetched
	}
	answer, err := read(u.reader)
	if attempt.notFound = err == nil && answer.Absent && r.negativeCache != nil && attempt.request.value == nil; attempt.notFound {
		return balancer.Completed, nil, answer.Again && u.reader.Buffered() == 0, nil
	}
	if err == nil && answer.Ending == balancer.Completed {
		value, err = u.readValue(attempt, &answer, until)
	}
	if err != nil {
		if value != nil {
			r.valueMemory.release(len(value))
		}
		return u.classifyError(attempt, err)
	}
	if n := u.reader.Buffered(); answer.Again && n > 0 { // it would pass for the answer to the next
		u.reportBadBytes(fmt.Errorf("%w: %d unasked for", wire.ErrBytes, n))
		answer.Again = false
	}
	return answer.Ending, value, answer.Again, nil
}

// value takes a completed try's value: whole if it is short and there is room for it, else piece by piece, in which case
// the exchange has its answer with the first of them and nothing is returned.
func (u *upstreamConn) readValue(attempt *attempt, answer *wire.Answer, until time.Time) ([]byte, error) {
	r := u.host.router
	if _, ok := answer.Whole(); ok || answer.Long <= wire.MaxValue && r.valueMemory.tryAcquire(answer.Long) {
		if ok {
			r.valueMemory.acquire(answer.Long)
		}
		b, err := answer.Value(u.reader)
		if err != nil {
			r.valueMemory.release(answer.Long)
			return nil, err
		}
		return b, answer.Tail(u.reader)
	}
	if err := u.streamValue(attempt, answer, until); err != nil {
		return nil, err
	}
	return nil, answer.Tail(u.reader)
}

// stale tells whether there is something to read, or an end, on a connection on which nothing is asked. What comes
// behind a good answer may come after its connection was handed the next try, whose deadline hides it from wait.
func (u *upstreamConn) isStale() bool {
	if u.reader.Buffered() > 0 || hasUnread(u.conn) {
		u.reportBadBytes(fmt.Errorf("%w: unasked for", wire.ErrBytes))
		return true
	}
	return closedByPeer(u.conn)
}

// came tells from how far a try had come what its end means.
func (u *upstreamConn) classifyError(attempt *attempt, err error) (balancer.Ending, []byte, bool, error) {
	var halt *wire.Halt
	switch ran := errors.As(err, &halt) && halt.Ran(); {
	case attempt.cancelled.Load():
		return balancer.Undone, nil, false, err
	case !ran:
		return balancer.Unreachable, nil, false, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.Silent, nil, false, err
	case errors.Is(err, wire.ErrBytes):
		return balancer.Fault, nil, false, err
	}
	return balancer.Cut, nil, false, err
}

func (u *upstreamConn) dial(attempt *attempt, until time.Time) error {
	ctx, quit := context.WithDeadline(context.Background(), until)
	defer quit()
	u.mu.Lock()
	u.cancelDial = quit
	u.mu.Unlock()
	if attempt.cancelled.Load() { // before there was a dialling to end
		quit()
	}
	conn, err := u.host.router.dialer.DialContext(ctx, "tcp", u.addr)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancelDial = nil
	if err != nil {
		return &wire.Halt{Far: wire.Dialing, Err: err}
	}
	u.conn = conn
	u.reader = bufio.NewReaderSize(conn, 4<<10)
	return nil
}

// write sends a try whole: its head and value gathered into one write.
func (u *upstreamConn) writeRequest(attempt *attempt) error {
	c, r := attempt.request, u.host.router
	size := -1
	if c.value != nil {
		size = len(c.value)
	}
	// caches and the origin alike are told how long an answer is waited for, not what the client once had
	facts := wire.AppendFacts(nil, c.facts, max(int(attempt.sentAt+attempt.timeout-r.clock.Now())/10, 1))
	if u.host.isOrigin {
		u.header = wire.AppendFetch(u.header[:0], u.addr, c.key, c.id, facts, size)
	} else {
		u.header = wire.AppendCommand(u.header[:0], c.name, c.key, c.id, facts, size)
	}
	u.buffers = append(u.buffers[:0], u.header)
	if size > 0 {
		u.buffers = append(u.buffers, c.value)
	}
	if size >= 0 && !u.host.isOrigin {
		u.buffers = append(u.buffers, crlf)
	}
	u.mu.Lock()
	u.writing = attempt
	if c.finished.Load() {
		u.conn.SetWriteDeadline(pastDeadline)
	}
	u.mu.Unlock()
	g := u.buffers
	_, err := g.WriteTo(u.conn)
	u.mu.Lock()
	u.writing = nil
	u.mu.Unlock()
	return err
}

// drop stops the writing of a try whose exchange is over: nobody begins what does not come whole.
func (u *upstreamConn) abandonWrite(attempt *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.writing == attempt {
		u.conn.SetWriteDeadline(pastDeadline)
	}
}

var crlf = []byte("\r\n")
