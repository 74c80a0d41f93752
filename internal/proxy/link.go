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
const dropAfter = time.Second

// link is one connection to a peer and its goroutine, which alone reads and writes there.
type link struct {
	peer   *peer
	addr   string
	in     *bufio.Reader
	head   []byte
	gather net.Buffers

	mu     sync.Mutex // for what follows, by which others wake it
	conn   net.Conn
	quit   context.CancelFunc // ends the dialling
	handed *try               // to be carried next
	writes *try               // that is being written
	closes bool               // it is to close once it carries nothing
}

// give hands over a try to a connection that is idle. Both steps are one, or a late wake would hit the try.
func (l *link) give(t *try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handed = t
	l.conn.SetReadDeadline(longAgo)
}

// wake interrupts whatever the connection's goroutine waits for; it then looks what is wanted of it. An idle
// one that was handed nothing closes.
func (l *link) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quit != nil {
		l.quit()
	}
	if l.conn != nil {
		l.conn.SetDeadline(longAgo)
	}
}

// close ends a connection that is idle, or just falls so.
func (l *link) close() {
	l.mu.Lock()
	l.closes = true
	l.mu.Unlock()
	l.wake()
}

// take returns the try that was handed over, if any.
func (l *link) take() *try {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.handed
	l.handed = nil
	return t
}

// run carries tries, beginning with t, until the connection ends.
func (l *link) run(t *try) {
	p := l.peer
	for again := true; again && t != nil; {
		ending, value, err := balancer.Cut, []byte(nil), error(nil)
		again = false
		guarded(p.log, p.router.count, func() { ending, value, again, err = l.carry(t) })
		if errors.Is(err, wire.ErrBytes) {
			l.distrust(err)
		}
		if err != nil && t.begun && !errors.Is(err, errDropped) { // the client's connection ends amid the value
			p.router.count.Broken.Add(1)
			p.log.Warn("a value broke off", zap.Error(err))
		}
		if !again && l.conn != nil {
			l.conn.Close()
		}
		carried := t
		p.box.post(func() { p.ended(l, carried, ending, value, again) })
		if again {
			t = l.wait()
		}
	}
	if l.conn != nil {
		l.conn.Close()
	}
	p.box.post(func() { p.gone(l) })
}

// knock sees whether a connection comes up, and keeps it for a try to come.
func (l *link) knock() {
	p := l.peer
	err := error(&wire.Halt{})
	guarded(p.log, p.router.count, func() { err = l.dial(&try{}, time.Now().Add(span(p.router.zones.quick))) })
	p.router.box.post(func() { p.router.zoneDialled(p.node, err == nil) })
	if err != nil {
		p.box.post(func() { p.gone(l) })
		return
	}
	p.box.post(func() { p.rest(l) })
	l.run(l.wait())
}

// distrust tells of a connection that is ended for what came on it.
func (l *link) distrust(err error) {
	l.peer.router.count.BadPeer.Add(1)
	l.peer.log.Warn("connection ended", zap.Error(err))
}

// wait stays until a try is handed over; nil means that the connection has ended or stood idle too long.
func (l *link) wait() *try {
	l.mu.Lock()
	t := l.handed
	l.handed = nil
	idle := span(l.peer.router.book.Idle * 2 / 3)
	if d := l.peer.router.duties; d != nil && l.peer.drops.Load() && (idle == 0 || idle > dropAfter) {
		idle = dropAfter
	}
	switch {
	case t != nil:
	case l.closes: // told before this one waited, and a deadline set now would undo that
		l.mu.Unlock()
		return nil
	case idle > 0:
		l.conn.SetReadDeadline(time.Now().Add(idle))
	default: // not told: the other side closes it
		l.conn.SetReadDeadline(time.Time{})
	}
	l.mu.Unlock()
	if t != nil {
		return t
	}
	b, err := l.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.take()
	}
	if len(b) > 0 {
		l.distrust(fmt.Errorf("%w: unasked for: %q", wire.ErrBytes, b))
	}
	return nil // or closed by the other side
}

// carry sees one try through: connect if need be, write it, read its answer.
func (l *link) carry(t *try) (ending balancer.Ending, value []byte, again bool, err error) {
	m := l.peer.router
	until := time.Now().Add(span(t.sent + t.wait - m.clock.Now()))
	fresh := l.conn == nil
	if fresh {
		if err := l.dial(t, until); err != nil {
			if t.undone.Load() {
				return balancer.Undone, nil, false, err
			}
			return balancer.Unreachable, nil, false, err
		}
		if m.zones != nil && !l.peer.origin {
			m.box.post(func() { m.zoneDialled(l.peer.node, true) })
		}
	}
	l.conn.SetDeadline(until)
	switch {
	case t.undone.Load(): // called off before the deadline above was set
		return balancer.Undone, nil, false, nil
	case !fresh && l.stale(): // closed meanwhile, or bytes came that would pass for the answer; nothing was sent yet
		l.conn.Close()
		l.mu.Lock()
		l.conn = nil
		l.mu.Unlock()
		return l.carry(t)
	case t.request.over.Load(): // while it waited for its connection, which the next may have
		return balancer.NeverSent, nil, true, nil
	case t.before > 0 && m.clock.Now() >= t.before:
		return balancer.NeverSent, nil, true, nil
	case !l.peer.ready.Load(): // it drains or is gone since the module chose it; nothing new goes there
		return balancer.NeverSent, nil, false, nil
	}
	if err := l.write(t); err != nil {
		if t.request.over.Load() {
			return balancer.NeverSent, nil, false, nil
		}
		return l.came(t, &wire.Halt{Far: wire.Writing, Err: err})
	}
	read := wire.ReadAnswer
	if l.peer.origin {
		read = wire.ReadFetched
	}
	a, err := read(l.in)
	if t.absent = err == nil && a.Absent && m.absent != nil && t.request.value == nil; t.absent {
		return balancer.Completed, nil, a.Again && l.in.Buffered() == 0, nil
	}
	if err == nil && a.Ending == balancer.Completed {
		value, err = l.value(t, &a, until)
	}
	if err != nil {
		if value != nil {
			m.memory.give(len(value))
		}
		return l.came(t, err)
	}
	if n := l.in.Buffered(); a.Again && n > 0 { // it would pass for the answer to the next
		l.distrust(fmt.Errorf("%w: %d unasked for", wire.ErrBytes, n))
		a.Again = false
	}
	return a.Ending, value, a.Again, nil
}

// value takes a completed try's value: whole if it is short and there is room for it, else piece by piece, in which case
// the exchange has its answer with the first of them and nothing is returned.
func (l *link) value(t *try, a *wire.Answer, until time.Time) ([]byte, error) {
	m := l.peer.router
	if _, ok := a.Whole(); ok || a.Long <= wire.MaxValue && m.memory.take(a.Long) {
		if ok {
			m.memory.force(a.Long)
		}
		b, err := a.Value(l.in)
		if err != nil {
			m.memory.give(a.Long)
			return nil, err
		}
		return b, a.Tail(l.in)
	}
	if err := l.flow(t, a, until); err != nil {
		return nil, err
	}
	return nil, a.Tail(l.in)
}

// stale tells whether there is something to read, or an end, on a connection on which nothing is asked. What comes
// behind a good answer may come after its connection was handed the next try, whose deadline hides it from wait.
func (l *link) stale() bool {
	if l.in.Buffered() > 0 || unread(l.conn) {
		l.distrust(fmt.Errorf("%w: unasked for", wire.ErrBytes))
		return true
	}
	return over(l.conn)
}

// came tells from how far a try had come what its end means.
func (l *link) came(t *try, err error) (balancer.Ending, []byte, bool, error) {
	var halt *wire.Halt
	switch ran := errors.As(err, &halt) && halt.Ran(); {
	case t.undone.Load():
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

func (l *link) dial(t *try, until time.Time) error {
	ctx, quit := context.WithDeadline(context.Background(), until)
	defer quit()
	l.mu.Lock()
	l.quit = quit
	l.mu.Unlock()
	if t.undone.Load() { // before there was a dialling to end
		quit()
	}
	conn, err := l.peer.router.dialer.DialContext(ctx, "tcp", l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quit = nil
	if err != nil {
		return &wire.Halt{Far: wire.Dialing, Err: err}
	}
	l.conn = conn
	l.in = bufio.NewReaderSize(conn, 4<<10)
	return nil
}

// write sends a try whole: its head and value gathered into one write.
func (l *link) write(t *try) error {
	c, m := t.request, l.peer.router
	size := -1
	if c.value != nil {
		size = len(c.value)
	}
	// caches and the origin alike are told how long an answer is waited for, not what the client once had
	facts := wire.AppendFacts(nil, c.facts, max(int(t.sent+t.wait-m.clock.Now())/10, 1))
	if l.peer.origin {
		l.head = wire.AppendFetch(l.head[:0], l.addr, c.key, c.id, facts, size)
	} else {
		l.head = wire.AppendCommand(l.head[:0], c.name, c.key, c.id, facts, size)
	}
	l.gather = append(l.gather[:0], l.head)
	if size > 0 {
		l.gather = append(l.gather, c.value)
	}
	if size >= 0 && !l.peer.origin {
		l.gather = append(l.gather, crlf)
	}
	l.mu.Lock()
	l.writes = t
	if c.over.Load() {
		l.conn.SetWriteDeadline(longAgo)
	}
	l.mu.Unlock()
	g := l.gather
	_, err := g.WriteTo(l.conn)
	l.mu.Lock()
	l.writes = nil
	l.mu.Unlock()
	return err
}

// drop stops the writing of a try whose exchange is over: nobody begins what does not come whole.
func (l *link) drop(t *try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writes == t {
		l.conn.SetWriteDeadline(longAgo)
	}
}

var crlf = []byte("\r\n")
