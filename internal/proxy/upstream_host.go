package proxy

import (
	"slices"
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// maxHostCalls is the number of queued calls at which a host is sent no further attempts.
	maxHostCalls = 3 * maxRequestsInFlight
	// socketRetryDelay is the delay after which attempts that wait for a socket try to acquire one again.
	socketRetryDelay = 10 * time.Millisecond
)

// upstreamHost is one cache or origin. Its goroutine, which runs only while there are calls, owns the connections to the
// host and assigns attempts to them. Each connection carries one attempt at a time: responses on a connection arrive in
// order, so an attempt would have to wait for the ones before it. A host that receives no requests costs only this
// structure.
type upstreamHost struct {
	calls  callQueue
	router *Router

	index    int // the balancer's index of the host
	name     string
	isOrigin bool

	// Set by the router's goroutine, read by any.
	addr          atomic.Pointer[string]
	ready         atomic.Bool  // the host is listed and not draining
	notReadySince atomic.Int64 // in nanoseconds of the router's clock; 0: the host is ready, or never was
	closeIdleSoon atomic.Bool  // other proxies have the duty to keep idle connections to the host

	// distrustedUntil is the time until which the host is distrusted, in nanoseconds of the router's clock; 0: it is not.
	// Any goroutine may set it.
	distrustedUntil atomic.Int64

	// lastRejection is the time of the latest response that rejected an attempt as overloaded, in nanoseconds of the router's
	// clock; 0: never. Any goroutine may set it.
	lastRejection atomic.Int64

	// Set by the host's goroutine, read by any.
	responseTime atomic.Int64 // mean time from an attempt to its response, in nanoseconds; set by the goroutines of connections
	openConns    atomic.Int32 // includes connections that are being dialed

	// Accessed only by the router's goroutine.
	ejected       bool          // state last reported to the duties
	endpoint      wire.Endpoint // as listed; a new host listed without a start time gets the time at which it was first seen
	startedAt     balancer.Time // latest start on this process's clock; 0: long ago
	departedAt    balancer.Time // time at which the host left the endpoint list; 0: it is listed
	inFlight      int           // number of attempts in flight
	awaitsRemoval bool          // the host is in the router's departedHosts
	superseded    bool          // another host is listed at its address
	supersedes    *upstreamHost // the host that was superseded by this one; nil: none
	lastUpdate    int           // number of the latest update of the endpoint list that contained the host

	// Accessed only by the host's goroutine.
	stopping       bool            // connections close after the attempt that they carry
	idleConns      []*upstreamConn // ordered by last use, the most recent one last
	queue          []*attempt      // attempts that wait for a socket
	rests          restQueue
	retryScheduled bool          // a call of sendQueued is scheduled
	freshConns     *rate.Limiter // limits fresh connections for attempts that rarely need one; nil: none was needed yet
}

func newUpstreamHost(router *Router, index int, name string, isOrigin bool) *upstreamHost {
	h := &upstreamHost{router: router, index: index, name: name, isOrigin: isOrigin}
	h.calls.execute = h.execute
	return h
}

// post queues a call for the host's goroutine. It does not block, and the call is never dropped.
func (h *upstreamHost) post(call func()) { h.calls.post(call) }

// tryPost queues a call unless maxHostCalls calls are queued already. It returns whether the call was queued.
func (h *upstreamHost) tryPost(call func()) bool { return h.calls.tryPost(call, maxHostCalls) }

func (h *upstreamHost) execute(call func()) {
	if !runRecovered(h.router.log, h.router.counters, call) {
		h.log().Error("upstream host call panicked")
	}
}

// log returns a logger with the host's name.
func (h *upstreamHost) log() *zap.Logger { return h.router.log.With(zap.String("peer", h.name)) }

// isServing reports whether the host is a cache that is listed and accepts requests. It must be called on the router's
// goroutine.
func (h *upstreamHost) isServing() bool {
	return !h.isOrigin && h.acceptsRequests() && h.departedAt == 0
}

// releaseIdleConns makes the host's goroutine close all idle connections, if the host has any connections. Any goroutine
// may call it.
func (h *upstreamHost) releaseIdleConns() {
	if h.openConns.Load() > 0 {
		h.post(h.closeIdleConns)
	}
}

// The functions below run on the host's goroutine.

// stop closes all connections once they are idle. No attempt may be sent to the host afterwards.
func (h *upstreamHost) stop() {
	h.stopping = true
	h.closeIdleConns()
}

// send assigns an attempt to an idle connection, lets it wait for one that rests, or opens a new one. If no socket is available, the attempt is queued.
func (h *upstreamHost) send(attempt *attempt) {
	if attempt.request.life.Finished() {
		h.reportNotSent(attempt)
		return
	}
	addr, freshOnly := *h.addr.Load(), h.needsFreshConn(attempt)
	if conn := h.takeIdleConn(addr, freshOnly); conn != nil {
		if !freshOnly {
			attempt = h.firstInLine(attempt)
		}
		attempt.conn = conn
		conn.assign(attempt)
		return
	}
	if !freshOnly && h.waitForRest(attempt) {
		return
	}
	if !h.router.sockets.tryAcquire(1) {
		h.enqueue(attempt)
		return
	}
	attempt.conn = h.newConn(addr)
	if !freshOnly {
		h.recordDialing(attempt)
	}
	go attempt.conn.run(attempt)
}

// newConn returns a new connection, for which the caller has acquired a socket. The caller starts its goroutine, which
// ends with a call to connClosed.
func (h *upstreamHost) newConn(addr string) *upstreamConn {
	h.openConns.Add(1)
	h.router.counters.Dials.Add(1)
	return &upstreamConn{id: h.router.connIDs.Add(1), host: h, addr: addr}
}

// enqueue queues an attempt until a socket is available, and makes all hosts close their idle connections.
func (h *upstreamHost) enqueue(attempt *attempt) {
	h.queue = append(h.queue, attempt)
	if h.retryScheduled {
		return
	}
	h.retryScheduled = true
	h.router.mailbox.post(h.router.closeIdleConns)
	time.AfterFunc(socketRetryDelay, func() { h.post(h.sendQueued) })
}

// probe opens a connection to check whether the host accepts it, if the host is ready and a socket is available.
func (h *upstreamHost) probe() {
	if h.ready.Load() && h.router.sockets.tryAcquire(1) {
		go h.newConn(*h.addr.Load()).probe()
	}
}

// sendQueued sends the attempts that were queued before the call. Those for which there is still no socket are queued
// again.
func (h *upstreamHost) sendQueued() {
	h.retryScheduled = false
	for range len(h.queue) {
		h.sendNext()
	}
}

// sendNext sends the next queued attempt, if any.
func (h *upstreamHost) sendNext() {
	if next := h.nextQueued(); next != nil {
		h.send(next)
	}
}

// abandon stops the writing of an attempt whose request is finished. An attempt that is written completely continues.
func (h *upstreamHost) abandon(attempt *attempt) {
	if attempt.conn != nil {
		attempt.conn.abandonWrite(attempt)
	}
}

// deliver begins the reply with the response that an attempt is receiving. It does nothing if the attempt has ended.
func (h *upstreamHost) deliver(attempt *attempt) {
	attempt.deliver.Store(true)
	if attempt.conn != nil {
		attempt.conn.wakeValueWait(attempt)
	}
}

// cancel cancels an attempt, whether it is queued, being dialed, being written or waiting for its response.
func (h *upstreamHost) cancel(attempt *attempt) {
	attempt.cancelled.Store(true)
	if attempt.conn != nil {
		attempt.conn.interrupt()
	}
}

// attemptFinished handles the result of a connection's attempt. A reusable connection becomes idle.
func (h *upstreamHost) attemptFinished(conn *upstreamConn, attempt *attempt, result attemptResult, reusable bool) {
	attempt.conn = nil
	h.forgetDialing(attempt)
	if !attempt.streaming {
		h.router.mailbox.post(func() { h.router.attemptFinished(attempt, result) })
	}
	if reusable {
		h.connIdle(conn)
	}
}

// connIdle adds a connection to the idle ones, and sends the next queued attempt.
func (h *upstreamHost) connIdle(conn *upstreamConn) {
	if h.stopping || conn.served > 0 && h.isDistrusted() {
		conn.close()
		return
	}
	h.idleConns = append(h.idleConns, conn)
	h.sendNext()
	h.scheduleMove()
}

// connClosed handles the end of a connection. An attempt that was assigned to it but not begun is sent on another one.
func (h *upstreamHost) connClosed(conn *upstreamConn) {
	h.openConns.Add(-1)
	h.router.sockets.release(1)
	if i := slices.Index(h.idleConns, conn); i >= 0 {
		h.idleConns = slices.Delete(h.idleConns, i, i+1)
	}
	if attempt := conn.takeAssigned(); attempt != nil {
		h.send(attempt)
	}
	h.sendNext()
}

// nextQueued removes and returns the first queued attempt that can still be sent, or nil. The attempts before it are
// reported as not sent.
func (h *upstreamHost) nextQueued() *attempt {
	for len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = slices.Delete(h.queue, 0, 1)
		abandoned := next.cancelled.Load() || next.request.life.Finished()
		if !abandoned && h.ready.Load() && h.router.clock.Now() < next.sentAt+next.timeout {
			return next
		}
		h.reportNotSent(next)
	}
	return nil
}

func (h *upstreamHost) reportNotSent(attempt *attempt) {
	h.router.mailbox.post(func() { h.router.attemptFinished(attempt, attemptResult{outcome: balancer.NotSent}) })
}

// closeIdleConns closes all idle connections.
func (h *upstreamHost) closeIdleConns() {
	for _, conn := range h.idleConns {
		conn.close()
	}
	h.idleConns = h.idleConns[:0]
}
