package proxy

import (
	"strconv"
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

// finalReply is the kind of a request's one final reply.
type finalReply uint8

const (
	replyCompleted finalReply = iota
	replyShed
	replyError
	replyNotFound // completed, and the origin has no such key
)

// request is one command's place among the replies of its connection, which are written in order. What the command
// said is copied, since the reader's buffer is reused.
type request struct {
	conn                 *clientConn
	proxied              bool // to an upstream; false for PING and the like
	name, key, id, facts []byte
	value                []byte // nil: the command has none
	route, tenant        string
	waitMS               int           // how long the client waits, in milliseconds
	isRetry              bool          // the client has sent the same request before
	valueBytes           int           // of the value and of the reply's body, as counted in the value memory
	admitted             bool          // counts as held until its reply is written or its client has gone
	receivedAt           balancer.Time // when its last byte was read

	slot    int  // index of its request slot; only the router's goroutine looks at this and hasSlot
	hasSlot bool // it has been handed to the balancer

	life    lifecycle.Request // says whether a further attempt may begin
	endedAt atomic.Int64      // when it had its final reply or its client left, in nanoseconds of the router's clock; 0: neither

	writeTime atomic.Int64 // the longest that an attempt's value took to be written in part, in nanoseconds

	// The reply, guarded by conn.mu.
	ready  bool
	header []byte
	body   []byte
	stream *stream // in place of the body, for values that are passed on in chunks
}

var (
	nullReply          = []byte("$-1\r\n")
	busyReply          = []byte("-BUSY\r\n")
	upstreamErrorReply = []byte("-ERR failed upstream\r\n")
)

// newRequest returns an admitted request with a copy of what the command says.
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

// parseFacts reads route, tenant and waiting time from the request's facts, and returns an error if upstreams would
// reject the request as malformed.
func (r *request) parseFacts() error {
	facts, err := wire.ParseFacts(r.facts)
	if err == nil {
		err = wire.CheckPrintable(r.id, r.facts) // they become HTTP headers, to which a line end would add another
	}
	if len(r.id) == 0 || len(r.key) == 0 {
		err = wire.ErrProtocol // each upstream would reject it, one after the other
	}
	if err != nil {
		return err
	}
	r.route, r.tenant = string(facts.Route), string(facts.Tenant)
	r.waitMS, r.isRetry = facts.WaitMilliseconds, facts.Retry
	return nil
}

// clientUntil returns until when the client waits, the zero time where that is not known.
func (r *request) clientUntil(clock Clock) time.Time {
	if r.receivedAt == 0 {
		return time.Time{}
	}
	return clock.Instant(r.receivedAt).Add(time.Duration(r.waitMS) * time.Millisecond)
}

// reply sets the final reply. A completed request carries the value as the upstream sent it; retryAfterMS, in
// milliseconds, is told to clients whose request is shed, unless it is 0.
func (r *request) reply(counters *Counters, kind finalReply, value []byte, retryAfterMS int) {
	switch kind {
	case replyCompleted:
		counters.Completed.Add(1)
		r.setReply(wire.AppendLength(nil, '$', len(value)), value)
	case replyNotFound:
		counters.Completed.Add(1)
		counters.Absent.Add(1)
		r.setReply(nullReply, nil)
	case replyShed:
		counters.Shed.Add(1)
		header := busyReply
		if retryAfterMS > 0 {
			header = append(strconv.AppendInt([]byte("-BUSY "), int64(retryAfterMS), 10), crlf...)
		}
		r.setReply(header, nil)
	case replyError:
		counters.Errored.Add(1)
		r.setReply(upstreamErrorReply, nil)
	}
}

// replyStream sets the reply of a completed request whose value is passed on in chunks.
func (r *request) replyStream(counters *Counters, s *stream) {
	counters.Completed.Add(1)
	counters.Flows.Add(1)
	r.stream = s
	r.setReply(wire.AppendLength(nil, '$', s.length), nil)
}

// setReply makes the request ready, and interrupts its connection if its reply is the next to be written. The bytes of
// a body are counted in the value memory already, and are released with the request. Any goroutine may call it.
func (r *request) setReply(header, body []byte) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		if r.stream != nil {
			r.stream.abandon()
		}
		c.listener.router.valueMemory.release(len(body))
		return
	}
	r.header, r.body, r.ready = header, body, true
	if r.admitted { // by which its bytes are released
		r.valueBytes += len(body)
	}
	if len(c.pending) > 0 && c.pending[0] == r {
		c.interruptLocked()
	}
}

// release gives up what a request holds once its reply is written or its client has gone.
func (r *request) release(listener *Listener) {
	if r.stream != nil {
		r.stream.abandon()
	}
	if r.admitted {
		r.admitted = false
		listener.counters.Held.Add(-1)
		listener.router.valueMemory.release(r.valueBytes)
	}
}
