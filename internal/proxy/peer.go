package proxy

import (
	"slices"
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
	"woodproxy/negativecache"

	"go.uber.org/zap"
)

// try is one upstream try on its way: made by the module's actor, handed to a peer's, then to a connection.
type try struct {
	request *request
	cx      int
	node    int
	sent    balancer.Time
	wait    balancer.Time // its time-out, from sent
	before  balancer.Time // to be begun by then or not at all, 0: there is no such time
	undone  atomic.Bool
	ticket  negativecache.Ticket // of a look-up at the origin
	absent  bool                 // which said that it has no such key
	begun   bool                 // its answer is with the client, piece by piece: it has ended for the module
	link    *link                // the connection that has it; only the peer's actor looks
}

// budget is what there may be of something, such as sockets that are open to all peers together, or bytes of values.
type budget struct {
	left atomic.Int64
	used *atomic.Int64 // the counter that shows it
}

func newBudget(n int, used *atomic.Int64) *budget {
	b := &budget{used: used}
	b.left.Store(int64(n))
	return b
}

// take tells whether there was enough left.
func (b *budget) take(n int) bool {
	if b.left.Add(int64(-n)) >= 0 {
		b.used.Add(int64(n))
		return true
	}
	b.left.Add(int64(n))
	return false
}

// force takes what is there already.
func (b *budget) force(n int) {
	b.left.Add(int64(-n))
	b.used.Add(int64(n))
}

func (b *budget) give(n int) {
	b.left.Add(int64(n))
	b.used.Add(int64(-n))
}

// grow changes how many there may be; where fewer may be than are open, none is opened until enough have ended.
func (b *budget) grow(by int) { b.left.Add(int64(by)) }

// peer is the actor of one cache or the origin: it owns the connections there and hands tries to them, one at a
// time each. Answers on a connection come in order, so that a try behind another would wait for it.
type peer struct {
	box    mailbox
	router *Router
	node   int
	name   string
	origin bool
	addr   atomic.Pointer[string] // the module's actor sets these two, as the list has them
	ready  atomic.Bool            // neither draining nor gone
	drops  atomic.Bool            // idle connections are closed soon, since others keep theirs; the module's actor sets it too
	passed bool                   // over, as was last told; only the module's actor looks
	listed wire.Target            // as the list has it; a newcomer's start is when it came; only the module's actor looks
	since  balancer.Time          // when it left the list, 0: it is there; only the module's actor looks at these two
	out    int                    // tries
	open   int                    // connections, those that are being made included
	ends   bool                   // as soon as none is open
	idle   []*link                // the last one used comes last
	queue  []*try                 // wait for a connection, for want of sockets; emptied as others end, or as they time out
	asked  bool                   // to look again soon whether there are sockets
	log    *zap.Logger
}

func newPeer(m *Router, node int, name string, origin bool) *peer {
	p := &peer{
		box: make(mailbox, 3*mostHeld), router: m, node: node, name: name, origin: origin,
		log: m.log.With(zap.String("peer", name)),
	}
	go func() {
		for call := range p.box {
			guarded(p.log, m.count, call)
			if p.ends && p.open == 0 {
				return
			}
		}
	}()
	return p
}

// left notes that the node is not listed any more.
func (p *peer) left(now balancer.Time) {
	if p.since == 0 {
		p.since = now
	}
}

// end lets the actor go with its last connection; nothing is sent to it any more.
func (p *peer) end() {
	p.ends = true
	p.closeIdle()
}

// send hands a try to an idle connection or opens one; for want of sockets it waits.
func (p *peer) send(t *try) {
	if t.request.over.Load() {
		p.neverSent(t)
		return
	}
	addr := *p.addr.Load()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		l := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if l.addr == addr {
			t.link = l
			l.give(t)
			return
		}
		l.close() // it leads to where the peer was
	}
	if !p.router.links.take(1) {
		p.queue = append(p.queue, t)
		if !p.asked {
			p.asked = true
			p.router.box.post(p.router.makeRoom)
			time.AfterFunc(10*time.Millisecond, func() { p.box.post(p.sendQueued) })
		}
		return
	}
	p.open++
	p.router.count.Dials.Add(1)
	t.link = &link{peer: p, addr: addr}
	go t.link.run(t)
}

// knock opens a connection to see whether one comes up, if there is a socket.
func (p *peer) knock() {
	if p.ready.Load() && p.router.links.take(1) {
		p.open++
		p.router.count.Dials.Add(1)
		go (&link{peer: p, addr: *p.addr.Load()}).knock()
	}
}

// sendQueued looks again whether there are sockets for those that wait.
func (p *peer) sendQueued() {
	p.asked = false
	for range len(p.queue) {
		if t := p.next(); t != nil {
			p.send(t)
		}
	}
}

// drop hears that a try's exchange is over; one that is written whole runs on.
func (p *peer) drop(t *try) {
	if t.link != nil {
		t.link.drop(t)
	}
}

// cancel gives up a try, wherever it is.
func (p *peer) cancel(t *try) {
	t.undone.Store(true)
	if t.link != nil {
		t.link.wake()
	}
}

// ended hears from a connection how its try came out; with again, the connection can carry another.
func (p *peer) ended(l *link, t *try, ending balancer.Ending, value []byte, again bool) {
	t.link = nil
	if !t.begun {
		p.router.box.post(func() { p.router.ended(t, ending, value, nil) })
	}
	if again {
		p.rest(l)
	}
}

// rest takes a connection that can carry a try.
func (p *peer) rest(l *link) {
	p.idle = append(p.idle, l)
	if t := p.next(); t != nil {
		p.send(t)
	}
}

// gone hears that a connection has ended. A try that it was handed and had not begun goes to another.
func (p *peer) gone(l *link) {
	p.open--
	p.router.links.give(1)
	if i := slices.Index(p.idle, l); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	if t := l.take(); t != nil {
		p.send(t)
	}
	if t := p.next(); t != nil {
		p.send(t)
	}
}

// next takes the first that waits and has time left; the others end as what never was sent.
func (p *peer) next() *try {
	for len(p.queue) > 0 {
		t := p.queue[0]
		p.queue = slices.Delete(p.queue, 0, 1)
		if !t.undone.Load() && !t.request.over.Load() && p.ready.Load() && p.router.clock.Now() < t.sent+t.wait {
			return t
		}
		p.neverSent(t)
	}
	return nil
}

func (p *peer) neverSent(t *try) {
	p.router.box.post(func() { p.router.ended(t, balancer.NeverSent, nil, nil) })
}

func (p *peer) closeIdle() {
	for _, l := range p.idle {
		l.close()
	}
	p.idle = p.idle[:0]
}
