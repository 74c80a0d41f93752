package proxy

import (
	"strconv"
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

// finalReply is the kind of a request's single final reply.
type finalReply uint8

const (
	replyCompleted finalReply = iota
	replyShed
	replyError
	replyNotFound // completed: the key is absent at the origin
)

// request is one command of a client connection and its reply. Replies are written in the order of the commands. The
// contents of the command are copied, since the reader's buffer is reused.
type request struct {
	conn                 *clientConn
	proxied              bool // the request is forwarded to an upstream; false for PING and other control commands
	name, key, id, facts []byte
	value                []byte // nil: the command has none
	route, tenant        string
	waitMS               int           // the client's wait in milliseconds
	isRetry              bool          // the client has sent the same request before
	valueMemory          *reservation  // memory of the value; held by the client connection, the router and attempts that refer to it
	admitted             bool          // the request counts as held until its reply is written or its client has gone
	receivedAt           balancer.Time // time at which the last byte was read

	slot    int  // index of the request's slot; accessed, like hasSlot, only by the router's goroutine
	hasSlot bool // the request has been passed to the balancer

	life    lifecycle.Request // state that determines whether another attempt may begin
	endedAt atomic.Int64      // time of the final reply or the client's departure, in ns of the router's clock; 0: neither

	longestWrite atomic.Int64 // longest time spent writing an attempt whose writing was then broken off, in nanoseconds

	// Guarded by conn.mu.
	ready       bool // the reply is set
	clientReply      // removed when the request is released
}

// clientReply is the reply to a command.
type clientReply struct {
	header []byte
	body   []byte
	stream *stream // replaces the body if the value is streamed
}

var (
	nullReply          = []byte("$-1\r\n")
	busyReply          = []byte("-BUSY\r\n")
	upstreamErrorReply = []byte("-ERR failed upstream\r\n")
)

// newRequest returns an admitted request with a copy of the command's contents.
func newRequest(c *clientConn, cmd *wire.Command) *request {
	all := make([]byte, 0, len(cmd.Name)+len(cmd.Key)+len(cmd.ID)+len(cmd.Facts))
	keep := func(b []byte) []byte {
		n := len(all)
		all = append(all, b...)
		return all[n:len(all):len(all)]
	}
	return &request{
		conn: c, proxied: true, admitted: true,
		name: keep(cmd.Name), key: keep(cmd.Key), id: keep(cmd.ID), facts: keep(cmd.Facts),
	}
}

// parseFacts sets the route, the tenant, the client's wait and the retry mark from the request's facts. It returns an
// error if upstreams would reject the request as malformed.
func (r *request) parseFacts() error {
	facts, err := wire.ParseFacts(r.facts)
	if err == nil {
		err = wire.CheckPrintable(r.id, r.facts) // they become HTTP headers, and a line end would inject another header
	}
	if len(r.id) == 0 || len(r.key) == 0 {
		err = wire.ErrProtocol // every upstream would reject the request, one after the other
	}
	if err != nil {
		return err
	}
	r.route, r.tenant = string(facts.Route), string(facts.Tenant)
	r.waitMS, r.isRetry = facts.WaitMilliseconds, facts.Retry
	return nil
}

// clientDeadline returns the time until which the client waits, or the zero time if it is not known.
func (r *request) clientDeadline(clock Clock) time.Time {
	if r.receivedAt == 0 {
		return time.Time{}
	}
	return clock.Instant(r.receivedAt).Add(time.Duration(r.waitMS) * time.Millisecond)
}

// clientHasLeft reports whether the request's client has closed its connection, even if bytes of it are still unread.
func (r *request) clientHasLeft() bool { return r.conn != nil && hungUpByPeer(r.conn.conn) }

// reply sets the final reply. value is the upstream's value for a completed request. If the request is shed,
// retryAfterMS is sent to the client as Retry-After, in milliseconds, unless it is 0.
func (r *request) reply(counters *Counters, kind finalReply, value []byte, retryAfterMS int) {
	switch kind {
	case replyCompleted:
		counters.Completed.Add(1)
		r.setReply(clientReply{header: wire.AppendLength(nil, '$', len(value)), body: value})
	case replyNotFound:
		counters.Completed.Add(1)
		counters.Absent.Add(1)
		r.setReply(clientReply{header: nullReply})
	case replyShed:
		counters.Shed.Add(1)
		header := busyReply
		if retryAfterMS > 0 {
			header = append(strconv.AppendInt([]byte("-BUSY "), int64(retryAfterMS), 10), crlf...)
		}
		r.setReply(clientReply{header: header})
	case replyError:
		counters.Errored.Add(1)
		r.setReply(clientReply{header: upstreamErrorReply})
	}
}

// replyStream sets the reply of a completed request whose value is streamed.
func (r *request) replyStream(counters *Counters, s *stream) {
	counters.Completed.Add(1)
	counters.Flows.Add(1)
	r.setReply(clientReply{header: wire.AppendLength(nil, '$', s.length), stream: s})
}

// setReply stores the reply, and interrupts the client connection if this reply is the next to be written. The bytes of
// the body are already counted in the value memory, and are released with the request. Any goroutine may call it.
func (r *request) setReply(reply clientReply) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		if reply.stream != nil {
			reply.stream.abandon()
		}
		c.listener.router.valueMemory.release(len(reply.body))
		return
	}
	r.clientReply, r.ready = reply, true
	if len(c.pending) > 0 && c.pending[0] == r {
		c.interruptLocked()
	}
}

// release frees the resources of a request once its reply is written or its client has gone. Attempts that are still in
// flight keep its value, which stays counted until they have ended, but not its reply.
func (r *request) release(listener *Listener) {
	reply := r.takeReply()
	if reply.stream != nil {
		reply.stream.abandon()
	}
	if r.admitted {
		r.admitted = false
		listener.counters.Held.Add(-1)
		listener.router.valueMemory.release(len(reply.body))
		r.valueMemory.release()
	}
}

// takeReply removes the reply and returns it.
func (r *request) takeReply() clientReply {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	reply := r.clientReply
	r.clientReply = clientReply{}
	return reply
}
