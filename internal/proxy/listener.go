package proxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	// requestOverheadBytes is the memory of a request without its value, with its share of a connection's buffers.
	requestOverheadBytes = 32 << 10
	// finalAcceptTimeout is how long the last Accept waits that finds the listener's queue empty, as it closes.
	finalAcceptTimeout = time.Millisecond
	acceptRetryDelay   = 5 * time.Millisecond
	clientReadBuffer   = 4 << 10 // bytes; the longest command without its value
)

// deadlineListener is a network listener whose Accept can be interrupted by a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Listener is the listener: it accepts client connections, bounds how many there are, and closes them when the proxy
// drains or stops. Its methods may be called from any goroutine, but for those that say otherwise.
type Listener struct {
	ln                 deadlineListener
	router             *Router
	counters           *Counters
	log                *zap.Logger
	timeouts           clientTimeouts
	retryAfterMS       int           // told to clients whose request finds no capacity, in milliseconds; 0: nothing
	ready              chan struct{} // closed when clients are served
	acceptDone         chan struct{} // closed when Run has ended, with all accepted connections in conns
	memoryMB           int           // of the budgets below
	maxRequests        atomic.Int64  // requests that may be held at once
	reservedValueBytes atomic.Int64  // value memory that long writes leave to other requests
	outOfService       atomic.Bool   // clients are sent away

	mu             sync.Mutex
	maxConns       int
	maxServedConns int                  // how many of them may be left open to clients that have been served
	paused         bool                 // another process accepts connections
	closed         bool                 // no further connection is accepted
	soleOwner      bool                 // no other process has the listener; set before closed
	backlogUntil   time.Time            // until when clients in the queue are accepted; set before closed
	stopping       bool                 // the proxy stops, and drains for good
	phase          lifecycle.ClosePhase // of connections that are accepted from now on
	drainTimer     *time.Timer
	drainStep      int                      // steps of the drain that have been taken
	conns          map[*clientConn]struct{} // connections remove themselves as they end
	connsChanged   *sync.Cond               // a connection has ended, or a limit has changed
}

// NewListener returns a listener that accepts clients on ln for router. memoryMB, in MiB, bounds the requests and values
// that are held. It accepts none before SetLimits and Run are called.
func NewListener(ln deadlineListener, router *Router, memoryMB int, counters *Counters, log *zap.Logger) *Listener {
	l := &Listener{
		ln: ln, router: router, counters: counters, log: log,
		timeouts: defaultClientTimeouts, ready: make(chan struct{}), acceptDone: make(chan struct{}), conns: map[*clientConn]struct{}{},
	}
	l.SetMemory(memoryMB)
	l.connsChanged = sync.NewCond(&l.mu)
	if config := &router.settings.Balancer; config.RetryAfter {
		l.retryAfterMS = milliseconds(config.MaxRetryAfter)
	}
	return l
}

// SetMemory sets the memory budgets by the memory there is, in MiB: an eighth is for requests, a quarter for the values
// that they hold, and an eighth for streamed values. Values are counted at their length, since to count each at the
// longest would admit few requests where memory is small. Calls must not overlap.
func (l *Listener) SetMemory(memoryMB int) {
	l.maxRequests.Store(min(int64(memoryMB)<<20/8/requestOverheadBytes, maxRequestsInFlight))
	l.router.valueMemory.resize((memoryMB - l.memoryMB) << 20 / 4)
	l.router.streamMemory.resize((memoryMB - l.memoryMB) << 20 / 8)
	l.memoryMB = memoryMB
	l.reservedValueBytes.Store(int64(memoryMB) << 20 / 8)
}

// admitRequest reports whether there is capacity for another request, which then counts as held.
func (l *Listener) admitRequest() bool {
	l.counters.Exchanges.Add(1)
	if l.counters.Held.Add(1) > l.maxRequests.Load() || l.router.valueMemory.available.Load() <= 0 {
		l.counters.Held.Add(-1)
		return false
	}
	return true
}

// admitsLongValue reports whether a long value of n bytes may be written. Half of the value memory stays for the
// others, or a few such writes would have everybody else shed.
func (l *Listener) admitsLongValue(n int) bool {
	return l.router.valueMemory.available.Load()-int64(n) >= l.reservedValueBytes.Load()
}

// Open has PING answered from now on, by which clients see that they are served. It may be called once.
func (l *Listener) Open() { close(l.ready) }

// Opened reports whether Open was called.
func (l *Listener) Opened() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

// Run accepts clients until Close, and then those that still wait in the listener's queue if no other process does.
func (l *Listener) Run() {
	defer close(l.acceptDone)
	if !l.acceptUntilClosed() {
		return
	}
	l.acceptBacklog()
	if err := l.ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn("close listener", zap.Error(err))
	}
}

// acceptUntilClosed returns true once the listener is to close, and false if somebody else has closed it.
func (l *Listener) acceptUntilClosed() bool {
	lastError := "" // so that a series of equal errors is one line in the log
	for l.awaitCapacity() {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			l.accept(conn)
			lastError = ""
		case errors.Is(err, os.ErrDeadlineExceeded): // paused, or about to close
			time.Sleep(capacityPollInterval / 2)
		case errors.Is(err, net.ErrClosed):
			return false
		default: // for want of file descriptors, as a rule: clients in the queue are accepted once there are some
			l.counters.LocalErrors.count(err)
			if text := errorText(err); text != lastError {
				l.log.Warn("accept failed", zap.Error(err))
				lastError = text
			}
			time.Sleep(acceptRetryDelay)
		}
	}
	return true
}

// acceptBacklog accepts the clients that wait in the queue, which would be reset with the listener. Where accepting
// fails they are still there, and it is tried again for as long as commands of theirs would be read.
func (l *Listener) acceptBacklog() {
	for l.canAcceptBacklog() {
		if l.ln.SetDeadline(time.Now().Add(finalAcceptTimeout)) != nil {
			return
		}
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			l.accept(conn)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed): // the queue is empty, or gone
			return
		default:
			l.counters.LocalErrors.count(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (l *Listener) canAcceptBacklog() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.soleOwner && len(l.conns) < l.maxConns && time.Now().Before(l.backlogUntil)
}

// accept begins to serve a connection. Its goroutine ends by remove, for which Close waits.
func (l *Listener) accept(conn net.Conn) {
	now := time.Now()
	c := &clientConn{
		listener: l, conn: conn, reader: bufio.NewReaderSize(conn, clientReadBuffer),
		replyReady: make(chan struct{}, 1), acceptedAt: now, lastActive: now,
	}
	l.counters.Clients.Add(1)
	l.counters.ClientsOpen.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	c.requestedPhase = l.phase
	l.mu.Unlock()
	go c.run()
}

// remove forgets a connection that has ended.
func (l *Listener) remove(c *clientConn) {
	l.counters.ClientsOpen.Add(-1)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.connsChanged.Broadcast()
}

// awaitCapacity waits until a connection may be accepted, and returns false once the listener is to close. It closes a
// connection when nearly as many are open as may be, or as many as may be left open to clients that have been served.
func (l *Listener) awaitCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed {
		if !l.paused {
			if len(l.conns) >= min(nearLimit(l.maxConns), l.maxServedConns) {
				l.evictOneLocked()
			}
			if len(l.conns) < l.maxConns {
				return true
			}
		}
		l.connsChanged.Wait() // some connection ends, since every command and every reply has a time limit
	}
	return false
}

// evictOneLocked has a connection close that can be done without, and returns false if there is none.
func (l *Listener) evictOneLocked() bool {
	e := l.chooseEviction(time.Now())
	if e.conn == nil {
		return false
	}
	e.conn.requestPhase(e.phase)
	return true
}

// Pause leaves new connections to another process that has the listener too; with false it accepts them again.
func (l *Listener) Pause(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
	switch {
	case l.closed:
	case paused:
		l.setAcceptDeadline(pastDeadline)
	default:
		l.setAcceptDeadline(time.Time{})
	}
	l.connsChanged.Broadcast()
}

func (l *Listener) setAcceptDeadline(at time.Time) {
	if err := l.ln.SetDeadline(at); err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn("set accept deadline", zap.Error(err))
	}
}

// SetLimits sets how many connections there may be at once, and how many of them may be left open to clients that have been
// served. Where more are open, those that can be done without are closed.
func (l *Listener) SetLimits(maxConns, maxServedConns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns, l.maxServedConns = maxConns, maxServedConns
	for range l.conns {
		if !l.evictOneLocked() {
			break
		}
	}
	l.connsChanged.Broadcast()
}

// controlReply returns the reply to a command that is not proxied.
func (l *Listener) controlReply(cmd *wire.Command) (header, body []byte) {
	switch {
	case cmd.Is("PING"):
		if l.outOfService.Load() {
			return []byte("-ERR out of service\r\n"), nil
		}
		return []byte("+PONG\r\n"), nil
	case cmd.Is("CLIENT"), cmd.Is("SELECT"):
		return []byte("+OK\r\n"), nil
	case cmd.Is("INFO"):
		body = []byte(l.counters.String())
		return wire.AppendLength(nil, '$', len(body)), body
	}
	return []byte("-ERR unknown command\r\n"), nil
}

// milliseconds converts a time of the balancer, in tenths of a millisecond, and rounds down.
func milliseconds(t balancer.Time) int { return int(t / ticksPerMillisecond) }
