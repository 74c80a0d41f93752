package proxy

import (
	"strconv"
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// final is one of the final answers.
type final uint8

const (
	completed final = iota
	shed
	errored
	absent // completed, and the origin has no such key
)

// request is one command's place among the answers of its connection, which come in order. What the command said
// is a copy, since the reader's buffer goes on.
type request struct {
	client               *client
	exchange             bool // no PING or the like
	name, key, id, facts []byte
	value                []byte // nil: none
	route, tenant        string
	wait                 int // how long the client waits, in milliseconds
	repeat               bool
	bytes                int           // of its values, as they are counted
	holds                bool          // a place, until its answer is written or its client gone
	came                 balancer.Time // with its last byte

	cx    int // only the module's actor looks at these two
	taken bool
	over  atomic.Bool // it has its final answer, or its client has gone: no try of it begins any more

	ready bool // under the client's lock, with what is to be written
	head  []byte
	body  []byte
	flow  *flow // in the place of the body, which comes piece by piece
}

var (
	nullPlain    = []byte("$-1\r\n")
	shedPlain    = []byte("-BUSY\r\n")
	erroredPlain = []byte("-ERR failed upstream\r\n")
)

// answer words the one final answer of an exchange; a completed one carries the value as it came.
func (t *request) answer(count *Counters, a final, value []byte, after int) {
	switch a {
	case completed:
		count.Completed.Add(1)
		t.say(wire.AppendLength(nil, '$', len(value)), value)
	case absent:
		count.Completed.Add(1)
		count.Absent.Add(1)
		t.say(nullPlain, nil)
	case shed:
		count.Shed.Add(1)
		head := shedPlain
		if after > 0 {
			head = append(strconv.AppendInt([]byte("-BUSY "), int64(after), 10), '\r', '\n')
		}
		t.say(head, nil)
	case errored:
		count.Errored.Add(1)
		t.say(erroredPlain, nil)
	}
}

// pass words the answer of a completed exchange whose value comes piece by piece.
func (t *request) pass(count *Counters, f *flow) {
	count.Completed.Add(1)
	count.Flows.Add(1)
	t.flow = f
	t.say(wire.AppendLength(nil, '$', f.long), nil)
}

// say makes a request ready; if it is the next to be written, its connection is woken. The bytes of a body are counted
// already, and given back with the request.
func (t *request) say(head, body []byte) {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		if t.flow != nil {
			t.flow.drop()
		}
		c.door.router.memory.give(len(body))
		return
	}
	t.head, t.body, t.ready = head, body, true
	if t.holds { // a place, by which its bytes are given back
		t.bytes += len(body)
	}
	if len(c.pending) > 0 && c.pending[0] == t {
		c.conn.SetReadDeadline(longAgo)
		c.wake()
	}
}

// giveBack frees the place of an exchange whose answer is written or whose client has gone.
func (t *request) giveBack(d *Door) {
	if t.flow != nil {
		t.flow.drop()
	}
	if t.holds {
		t.holds = false
		d.count.Held.Add(-1)
		d.router.memory.give(t.bytes)
	}
}
