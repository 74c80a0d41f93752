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
type attempt struct {
	request     *request
	slot        int
	host        int
	sentAt      balancer.Time
	timeout     balancer.Time // its time-out, from sent
	startBefore balancer.Time // to be begun by then or not at all, 0: there is no such time
	cancelled   atomic.Bool
	cacheTicket negativecache.Ticket // of a look-up at the origin
	notFound    bool                 // which said that it has no such key
	streaming   bool                 // its answer is with the client, piece by piece: it has ended for the module
	conn        *upstreamConn        // the connection that has it; only the peer's actor looks
}

// budget is what there may be of something, such as sockets that are open to all peers together, or bytes of values.
type budget struct {
	available atomic.Int64
	used      *atomic.Int64 // the counter that shows it
}

func newBudget(n int, used *atomic.Int64) *budget {
	b := &budget{used: used}
	b.available.Store(int64(n))
	return b
}

// take tells whether there was enough left.
func (b *budget) tryAcquire(n int) bool {
	if b.available.Add(int64(-n)) >= 0 {
		b.used.Add(int64(n))
		return true
	}
	b.available.Add(int64(n))
	return false
}

// force takes what is there already.
func (b *budget) acquire(n int) {
	b.available.Add(int64(-n))
	b.used.Add(int64(n))
}

func (b *budget) release(n int) {
	b.available.Add(int64(n))
	b.used.Add(int64(-n))
}

// grow changes how many there may be; where fewer may be than are open, none is opened until enough have ended.
func (b *budget) resize(by int) { b.available.Add(int64(by)) }

// peer is the actor of one cache or the origin: it owns the connections there and hands tries to them, one at a
// time each. Answers on a connection come in order, so that a try behind another would wait for it.
type upstreamHost struct {
	mailbox        mailbox
	router         *Router
	index          int
	name           string
	isOrigin       bool
	addr           atomic.Pointer[string] // the module's actor sets these two, as the list has them
	ready          atomic.Bool            // neither draining nor gone
	closeIdleSoon  atomic.Bool            // idle connections are closed soon, since others keep theirs; the module's actor sets it too
	ejected        bool                   // over, as was last told; only the module's actor looks
	endpoint       wire.Target            // as the list has it; a newcomer's start is when it came; only the module's actor looks
	departedAt     balancer.Time          // when it left the list, 0: it is there; only the module's actor looks at these two
	inFlight       int                    // tries
	openConns      int                    // connections, those that are being made included
	stopping       bool                   // as soon as none is open
	idleConns      []*upstreamConn        // the last one used comes last
	queue          []*attempt             // wait for a connection, for want of sockets; emptied as others end, or as they time out
	retryScheduled bool                   // to look again soon whether there are sockets
	log            *zap.Logger
}

func newUpstreamHost(r *Router, node int, name string, origin bool) *upstreamHost {
	host := &upstreamHost{
		mailbox: make(mailbox, 3*maxRequestsInFlight), router: r, index: node, name: name, isOrigin: origin,
		log: r.log.With(zap.String("peer", name)),
	}
	go func() {
		for call := range host.mailbox {
			runRecovered(host.log, r.counters, call)
			if host.stopping && host.openConns == 0 {
				return
			}
		}
	}()
	return host
}

// left notes that the node is not listed any more.
func (h *upstreamHost) markDeparted(now balancer.Time) {
	if h.departedAt == 0 {
		h.departedAt = now
	}
}

// end lets the actor go with its last connection; nothing is sent to it any more.
func (h *upstreamHost) stop() {
	h.stopping = true
	h.closeIdleConns()
}

// send hands a try to an idle connection or opens one; for want of sockets it waits.
func (h *upstreamHost) send(attempt *attempt) {
	if attempt.request.finished.Load() {
		h.reportNotSent(attempt)
		return
	}
	addr := *h.addr.Load()
	for n := len(h.idleConns); n > 0; n = len(h.idleConns) {
		conn := h.idleConns[n-1]
		h.idleConns = h.idleConns[:n-1]
		if conn.addr == addr {
			attempt.conn = conn
			conn.assign(attempt)
			return
		}
		conn.close() // it leads to where the peer was
	}
	if !h.router.sockets.tryAcquire(1) {
		h.queue = append(h.queue, attempt)
		if !h.retryScheduled {
			h.retryScheduled = true
			h.router.mailbox.post(h.router.closeIdleConns)
			time.AfterFunc(10*time.Millisecond, func() { h.mailbox.post(h.sendQueued) })
		}
		return
	}
	h.openConns++
	h.router.counters.Dials.Add(1)
	attempt.conn = &upstreamConn{host: h, addr: addr}
	go attempt.conn.run(attempt)
}

// knock opens a connection to see whether one comes up, if there is a socket.
func (h *upstreamHost) probe() {
	if h.ready.Load() && h.router.sockets.tryAcquire(1) {
		h.openConns++
		h.router.counters.Dials.Add(1)
		go (&upstreamConn{host: h, addr: *h.addr.Load()}).probe()
	}
}

// sendQueued looks again whether there are sockets for those that wait.
func (h *upstreamHost) sendQueued() {
	h.retryScheduled = false
	for range len(h.queue) {
		if attempt := h.nextQueued(); attempt != nil {
			h.send(attempt)
		}
	}
}

// drop hears that a try's exchange is over; one that is written whole runs on.
func (h *upstreamHost) abandon(attempt *attempt) {
	if attempt.conn != nil {
		attempt.conn.abandonWrite(attempt)
	}
}

// cancel gives up a try, wherever it is.
func (h *upstreamHost) cancel(attempt *attempt) {
	attempt.cancelled.Store(true)
	if attempt.conn != nil {
		attempt.conn.interrupt()
	}
}

// ended hears from a connection how its try came out; with again, the connection can carry another.
func (h *upstreamHost) attemptFinished(conn *upstreamConn, attempt *attempt, outcome balancer.Ending, value []byte, again bool) {
	attempt.conn = nil
	if !attempt.streaming {
		h.router.mailbox.post(func() { h.router.attemptFinished(attempt, outcome, value, nil) })
	}
	if again {
		h.connIdle(conn)
	}
}

// rest takes a connection that can carry a try.
func (h *upstreamHost) connIdle(conn *upstreamConn) {
	h.idleConns = append(h.idleConns, conn)
	if attempt := h.nextQueued(); attempt != nil {
		h.send(attempt)
	}
}

// gone hears that a connection has ended. A try that it was handed and had not begun goes to another.
func (h *upstreamHost) connClosed(conn *upstreamConn) {
	h.openConns--
	h.router.sockets.release(1)
	if i := slices.Index(h.idleConns, conn); i >= 0 {
		h.idleConns = slices.Delete(h.idleConns, i, i+1)
	}
	if attempt := conn.takeAssigned(); attempt != nil {
		h.send(attempt)
	}
	if attempt := h.nextQueued(); attempt != nil {
		h.send(attempt)
	}
}

// next takes the first that waits and has time left; the others end as what never was sent.
func (h *upstreamHost) nextQueued() *attempt {
	for len(h.queue) > 0 {
		attempt := h.queue[0]
		h.queue = slices.Delete(h.queue, 0, 1)
		if !attempt.cancelled.Load() && !attempt.request.finished.Load() && h.ready.Load() && h.router.clock.Now() < attempt.sentAt+attempt.timeout {
			return attempt
		}
		h.reportNotSent(attempt)
	}
	return nil
}

func (h *upstreamHost) reportNotSent(attempt *attempt) {
	h.router.mailbox.post(func() { h.router.attemptFinished(attempt, balancer.NeverSent, nil, nil) })
}

func (h *upstreamHost) closeIdleConns() {
	for _, conn := range h.idleConns {
		conn.close()
	}
	h.idleConns = h.idleConns[:0]
}
