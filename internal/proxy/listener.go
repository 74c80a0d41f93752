package proxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// bare is what an exchange takes up without its values, its share of a connection's buffers included.
const requestOverheadBytes = 32 << 10

// lastLook is how long the last look takes that finds nobody who waits to be let in, once the door closes.
const finalAcceptTimeout = time.Millisecond

// listener is where clients come; tests have one that holds them between two steps.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// slowStart is how long a newcomer may take before it counts as one that asks nothing.
const idleGrace = 100 * time.Millisecond

// slowWriting is how long a client may stop half way through a command before those go that ask all the time.
const partialGrace = time.Second

// Door lets clients in and knows their connections.
type Door struct {
	ln                 deadlineListener
	router             *Router
	ready              chan struct{} // closed when clients may be told that they are served
	maxConns           int           // connections at once, under mu
	maxServedConns     int           // how many of them clients may be left that have been served, under mu
	paused             bool          // another process lets clients in
	maxRequests        atomic.Int64  // exchanges that may be held at once, without their values
	memoryMB           int           // as far as it has been shared out
	reservedValueBytes atomic.Int64  // bytes of values that long writes leave to others
	retryAfterMS       int           // what is told to who finds no place, in milliseconds; 0: nothing
	counters           *Counters
	log                *zap.Logger
	acceptDone         chan struct{} // closed when nobody is let in any more, and all who were are among the clients
	outOfService       atomic.Bool   // of service: clients are sent away
	mu                 sync.Mutex
	drainTimer         *time.Timer              // its next step, nil: none is to come
	drainStep          int                      // of the drain that is on, in steps
	phase              closePhase               // what a newcomer is told of its end
	stopping           bool                     // for good
	closed             bool                     // nobody is let in
	soleOwner          bool                     // no other process has the listener; set before that
	conns              map[*clientConn]struct{} // emptied as connections end
	connsChanged       *sync.Cond               // one has ended
}

// NewDoor lets clients in on ln once it is told how many, and holds no more exchanges than the memory has room for.
func NewDoor(ln deadlineListener, router *Router, memoryMB int, count *Counters, log *zap.Logger) *Door {
	listener := &Door{
		ln: ln, router: router, ready: make(chan struct{}), acceptDone: make(chan struct{}), counters: count, log: log,
		conns: map[*clientConn]struct{}{},
	}
	listener.Remember(memoryMB)
	listener.connsChanged = sync.NewCond(&listener.mu)
	if t := &router.settings.Terms; t.RetryAfter {
		listener.retryAfterMS = int(t.MaxRetryAfter / 10)
	}
	return listener
}

// Remember sets how much memory there is: an eighth of it is for exchanges, a quarter for their values, as long as
// they are, and an eighth for values that pass through. To count each at its largest would leave few places in little
// memory.
func (l *Door) Remember(memoryMB int) {
	l.maxRequests.Store(min(int64(memoryMB)<<20/8/requestOverheadBytes, maxRequestsInFlight))
	l.router.valueMemory.resize((memoryMB - l.memoryMB) << 20 / 4)
	l.router.streamMemory.resize((memoryMB - l.memoryMB) << 20 / 8)
	l.memoryMB = memoryMB
	l.reservedValueBytes.Store(int64(memoryMB) << 20 / 8)
}

// longRoom tells whether a long value may be written: half of what there is for values stays for the others, or a few
// such writes would have everybody else shed.
func (l *Door) admitsLongValue(n int) bool {
	return l.router.valueMemory.available.Load()-int64(n) >= l.reservedValueBytes.Load()
}

// Open tells clients that they are served.
func (l *Door) Open() { close(l.ready) }

// Run lets clients in until the door has closed.
func (l *Door) Run() {
	defer close(l.acceptDone)
	failed := "" // so that a spell of the same trouble is one line
	for l.awaitCapacity() {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			l.accept(conn)
			failed = ""
		case errors.Is(err, os.ErrDeadlineExceeded): // paused, or about to close
			time.Sleep(capacityPollInterval / 2)
		case errors.Is(err, net.ErrClosed):
			return
		default: // for want of descriptors, as a rule: who waits is let in once there are some
			if text := errorText(err); text != failed {
				l.log.Warn("accept", zap.Error(err))
				failed = text
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	for l.hasCapacity() { // who waited when the time was up is let in, or would be cut off with the listener
		l.ln.SetDeadline(time.Now().Add(finalAcceptTimeout))
		conn, err := l.ln.Accept()
		if err != nil {
			break
		}
		l.accept(conn)
	}
	l.ln.Close()
}

// hasPlace tells whether one more can be let in by who alone has the listener.
func (l *Door) hasCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.soleOwner && len(l.conns) < l.maxConns
}

func (l *Door) accept(conn net.Conn) {
	c := &clientConn{
		listener: l, conn: conn, reader: bufio.NewReaderSize(conn, 4<<10), replyReady: make(chan struct{}, 1),
		acceptedAt: time.Now(),
	}
	c.lastActive = c.acceptedAt
	l.counters.Clients.Add(1)
	l.counters.ClientsOpen.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	c.requestedPhase = l.phase
	l.mu.Unlock()
	go c.run()
}

// makeRoom has a client go once nine tenths of the places are taken, or as many are kept that were served, and lets nobody in while all are, or while the
// door is paused. It returns false when the door has closed.
func (l *Door) awaitCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed {
		if !l.paused {
			if len(l.conns) >= min(l.maxConns*9/10, l.maxServedConns) {
				if c, phase := l.chooseEviction(time.Now()); c != nil {
					c.requestPhase(phase)
				}
			}
			if len(l.conns) < l.maxConns {
				break
			}
		}
		l.connsChanged.Wait() // for one that goes; somebody does, since each command and answer has its time
	}
	return !l.closed
}

// Pause leaves who comes to another process that has the listener too, or no longer.
func (l *Door) Pause(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused = on; on && !l.closed {
		l.ln.SetDeadline(pastDeadline)
	} else if !l.closed {
		l.ln.SetDeadline(time.Time{})
	}
	l.connsChanged.Broadcast()
}

// Allow sets how many connections there may be at once, and how many of them to clients that were served. Where more are
// open, those that can be done without are closed.
func (l *Door) Allow(most, theirs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns, l.maxServedConns = most, theirs
	for range l.conns {
		c, phase := l.chooseEviction(time.Now())
		if c == nil {
			break
		}
		c.requestPhase(phase)
	}
	l.connsChanged.Broadcast()
}

// spare chooses who can be done without, and how it goes, if enough are not on their way out already. First comes who has
// asked nothing yet, of them the first that came, once it has had time to or a crowd of its kind waits with it; then who has
// been idle longest, which costs a client no more than a new connection; then who stopped half way through a command, since
// some take their time. So crowds that say nothing, ask once and stay, or stop half way push out themselves, not those that
// are served.
func (l *Door) chooseEviction(now time.Time) (*clientConn, closePhase) {
	const mute, idle, half = 0, 1, 2
	var first [3]*clientConn
	var since [3]time.Time
	mutes, stay, served := 0, 0, 0
	for c := range l.conns {
		s := c.state()
		kind := idle
		switch {
		case s.midCommand:
			kind = half
		case !s.hadCommand:
			kind = mute
		}
		if !s.closing {
			stay++
			switch {
			case kind == mute:
				mutes++
			case s.hadCommand:
				served++
			}
		}
		if s.closable && (first[kind] == nil || s.lastActive.Before(since[kind])) {
			first[kind], since[kind] = c, s.lastActive
		}
	}
	if c := first[idle]; c != nil && served >= l.maxServedConns && now.Sub(since[idle]) >= idleGrace {
		return c, phaseCloseWhenIdle
	}
	if stay < l.maxConns*9/10 {
		return nil, phaseOpen
	}
	for _, r := range [...]struct {
		kind  int
		least time.Duration
		how   closePhase
	}{
		{mute, partialGrace, phaseCloseWhenIdle},
		{idle, idleGrace, phaseCloseWhenIdle},
		{half, partialGrace, phaseStopReading},
		{half, idleGrace, phaseStopReading},
		{idle, 0, phaseCloseWhenIdle},
		{mute, 0, phaseCloseWhenIdle},
		{half, 0, phaseStopReading},
	} {
		c := first[r.kind]
		if c != nil && (now.Sub(since[r.kind]) >= r.least || r.kind == mute && mutes >= l.maxConns/4) {
			return c, r.how
		}
	}
	return nil, phaseOpen
}

func (l *Door) remove(c *clientConn) {
	l.counters.ClientsOpen.Add(-1)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.connsChanged.Broadcast()
}

// Leaving is when, after the door has closed, connections are closed behind their next answer, when those on which
// nothing is owed, and when no further command is taken: what was sent and not read by then is left for the client to
// ask elsewhere.
type Leaving struct{ Yield, Retire, Shut time.Duration }

// Close lets nobody in any more, ends the connections, and returns when all have ended or the time is up. Where no other
// process has the listener, who waits there is let in before.
func (l *Door) Close(until time.Time, alone bool, after Leaving) {
	began := time.Now()
	l.mu.Lock()
	l.closed, l.soleOwner = true, alone
	l.ln.SetDeadline(pastDeadline) // who is accepted just then is served yet
	l.connsChanged.Broadcast()
	l.mu.Unlock()
	for _, step := range [...]struct {
		at  time.Duration
		how closePhase
	}{{after.Yield, phaseCloseAfterReply}, {after.Retire, phaseCloseWhenIdle}, {after.Shut, phaseStopReading}} {
		defer time.AfterFunc(time.Until(began.Add(step.at)), func() { l.requestPhaseAll(step.how) }).Stop()
	}
	defer time.AfterFunc(time.Until(until), l.connsChanged.Broadcast).Stop()
	select { // or one that is let in just now would be missed
	case <-l.acceptDone:
	case <-time.After(time.Until(until)):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 && time.Now().Before(until) {
		l.connsChanged.Wait()
	}
}

// aside answers a command that is no exchange.
func (l *Door) controlReply(cmd *wire.Command) (head, body []byte) {
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
