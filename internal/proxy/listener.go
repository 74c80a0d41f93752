package proxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	// requestOverheadBytes is the memory of a request without its value, including its part of a connection's buffers.
	requestOverheadBytes = 32 << 10
	// finalAcceptTimeout is the time limit of each Accept while the listener closes. An Accept that reaches it has found
	// the listener's queue empty.
	finalAcceptTimeout = time.Millisecond
	acceptRetryDelay   = 5 * time.Millisecond
	clientReadBuffer   = 4 << 10 // bytes; the longest command without its value
)

// deadlineListener is a network listener whose Accept can be interrupted by a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Listener accepts client connections, limits their number, and closes them when the proxy drains or stops. Its methods
// may be called from any goroutine unless documented otherwise.
type Listener struct {
	ln           deadlineListener
	router       *Router
	counters     *Counters
	log          *zap.Logger
	timeouts     clientTimeouts
	retryAfterMS int           // Retry-After for requests that are shed for lack of capacity, in milliseconds; 0: none
	ready        chan struct{} // closed by Open, when clients are served
	acceptDone   chan struct{} // closed when Run has ended, with all accepted connections in conns
	memoryMB     int           // memory from which the budgets are computed, in MiB
	maxRequests  atomic.Int64  // maximum number of requests that are held at once
	outOfService atomic.Bool   // a drain by OutOfService is in progress

	mu             sync.Mutex
	maxConns       int
	maxServedConns int                  // maximum number of connections that stay open to clients that have been served
	paused         bool                 // another process accepts connections
	closed         bool                 // no further connection is accepted, except from the queue
	soleOwner      bool                 // no other process has the listener; valid once closed is set
	backlogUntil   time.Time            // until then clients in the queue are accepted; valid once closed is set
	stopping       bool                 // the proxy stops, and phase never goes back
	phase          lifecycle.ClosePhase // initial phase of newly accepted connections
	drainTimer     *time.Timer
	drainStep      int                      // number of executed steps of the drain
	conns          map[*clientConn]struct{} // open connections; each removes itself when it ends
	connsChanged   *sync.Cond               // signals that a connection has ended or that a limit or flag has changed
}

// NewListener returns a listener that accepts clients on ln and passes their requests to router. memoryMB, in MiB, limits
// the requests and values that are held. The listener accepts no client before SetLimits and Run are called.
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

// SetMemory sets the memory budgets for the given memory in MiB: one eighth is for requests, a quarter for the values
// that they hold, and one eighth for streamed values. Values are counted at their actual length, because counting each at
// the maximum length would admit few requests when memory is small. Calls must not overlap.
func (l *Listener) SetMemory(memoryMB int) {
	l.maxRequests.Store(min(int64(memoryMB)<<20/8/requestOverheadBytes, maxRequestsInFlight))
	l.router.valueMemory.resize((memoryMB - l.memoryMB) << 20 / 4)
	l.router.streamMemory.resize((memoryMB - l.memoryMB) << 20 / 8)
	l.memoryMB = memoryMB
	l.router.reservedValueBytes.Store(int64(memoryMB) << 20 / 8)
}

// admitRequest reports whether there is capacity for another request. If so, it counts the request as held.
func (l *Listener) admitRequest() bool {
	l.counters.Exchanges.Add(1)
	if l.counters.Held.Add(1) > l.maxRequests.Load() || l.router.valueMemory.available.Load() <= 0 {
		l.counters.Held.Add(-1)
		return false
	}
	return true
}

// Open enables replies to PING, which tell clients that the proxy serves them. It may be called only once.
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

// Pause stops accepting connections if paused is true, so that another process that has the same listener accepts them.
// If paused is false, it accepts connections again.
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

// SetLimits sets the maximum number of open connections, and the maximum number of those that stay open to clients that
// have been served. If more are open, it evicts connections.
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

// controlReply returns the reply to a command that is not proxied, and whether the command is known.
func (l *Listener) controlReply(cmd *wire.Command) (reply clientReply, known bool) {
	switch {
	case cmd.Is("PING"):
		if l.outOfService.Load() {
			return clientReply{header: []byte("-ERR out of service\r\n")}, true
		}
		return clientReply{header: []byte("+PONG\r\n")}, true
	case cmd.Is("CLIENT"), cmd.Is("SELECT"):
		return clientReply{header: []byte("+OK\r\n")}, true
	case cmd.Is("INFO"):
		body := []byte(l.counters.String())
		return clientReply{header: wire.AppendLength(nil, '$', len(body)), body: body}, true
	}
	return clientReply{header: []byte("-ERR unknown command\r\n")}, false
}

// milliseconds converts a balancer time, in tenths of a millisecond, to milliseconds and rounds down.
func milliseconds(t balancer.Time) int { return int(t / ticksPerMillisecond) }
