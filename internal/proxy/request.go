package proxy

import (
	"strconv"
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// final is one of the final answers.
type finalReply uint8

const (
	replyCompleted finalReply = iota
	replyShed
	replyError
	replyNotFound // completed, and the origin has no such key
)

// request is one command's place among the answers of its connection, which come in order. What the command said
// is a copy, since the reader's buffer goes on.
type request struct {
	conn                 *clientConn
	proxied              bool // no PING or the like
	name, key, id, facts []byte
	value                []byte // nil: none
	route, tenant        string
	waitMS               int // how long the client waits, in milliseconds
	isRetry              bool
	valueBytes           int           // of its values, as they are counted
	admitted             bool          // a place, until its answer is written or its client gone
	receivedAt           balancer.Time // with its last byte

	slot     int // only the module's actor looks at these two
	hasSlot  bool
	finished atomic.Bool // it has its final answer, or its client has gone: no try of it begins any more

	ready  bool // under the client's lock, with what is to be written
	header []byte
	body   []byte
	stream *stream // in the place of the body, which comes piece by piece
}

var (
	nullReply          = []byte("$-1\r\n")
	busyReply          = []byte("-BUSY\r\n")
	upstreamErrorReply = []byte("-ERR failed upstream\r\n")
)

// answer words the one final answer of an exchange; a completed one carries the value as it came.
func (r *request) reply(count *Counters, kind finalReply, value []byte, after int) {
	switch kind {
	case replyCompleted:
		count.Completed.Add(1)
		r.setReply(wire.AppendLength(nil, '$', len(value)), value)
	case replyNotFound:
		count.Completed.Add(1)
		count.Absent.Add(1)
		r.setReply(nullReply, nil)
	case replyShed:
		count.Shed.Add(1)
		head := busyReply
		if after > 0 {
			head = append(strconv.AppendInt([]byte("-BUSY "), int64(after), 10), '\r', '\n')
		}
		r.setReply(head, nil)
	case replyError:
		count.Errored.Add(1)
		r.setReply(upstreamErrorReply, nil)
	}
}

// pass words the answer of a completed exchange whose value comes piece by piece.
func (r *request) replyStream(count *Counters, stream *stream) {
	count.Completed.Add(1)
	count.Flows.Add(1)
	r.stream = stream
	r.setReply(wire.AppendLength(nil, '$', stream.length), nil)
}

// say makes a request ready; if it is the next to be written, its connection is woken. The bytes of a body are counted
// already, and given back with the request.
func (r *request) setReply(head, body []byte) {
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
	r.header, r.body, r.ready = head, body, true
	if r.admitted { // a place, by which its bytes are given back
		r.valueBytes += len(body)
	}
	if len(c.pending) > 0 && c.pending[0] == r {
		c.conn.SetReadDeadline(pastDeadline)
		c.wake()
	}
}

// giveBack frees the place of an exchange whose answer is written or whose client has gone.
func (r *request) release(listener *Door) {
	if r.stream != nil {
		r.stream.abandon()
	}
	if r.admitted {
		r.admitted = false
		listener.counters.Held.Add(-1)
		listener.router.valueMemory.release(r.valueBytes)
	}
}
