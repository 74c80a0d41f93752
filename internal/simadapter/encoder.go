package simadapter

import (
	"bufio"
	"strconv"

	"woodproxy/balancer"

	"github.com/valyala/fastjson"
)

// encoder encodes and writes the lines of replies. Lines are buffered until the end of the reply.
type encoder struct {
	out   *bufio.Writer
	line  []byte // the line being encoded
	arena fastjson.Arena
}

// endOfReply writes the last line of a reply and flushes the output. It returns the first error of any write so far.
func (e *encoder) endOfReply() error {
	e.write([]byte("[\"eor\"]\n"))
	return e.out.Flush()
}

func (e *encoder) write(line []byte) {
	_, _ = e.out.Write(line) // the bufio.Writer keeps its first error, and Flush returns it
}

// decisions encodes an instance's decisions in order, and then frees the slots of the requests that they finish.
func (e *encoder) decisions(number int, in *instance, decisions []balancer.Decision) {
	for i := range decisions {
		e.decision(number, in, &decisions[i])
	}
	for i := range decisions {
		if act := decisions[i].Action; act == balancer.Shed || act == balancer.Error {
			in.requests.releaseIfDone(decisions[i].Request)
		}
	}
}

// decision encodes one decision and updates the instance's record of the request or timer concerned.
func (e *encoder) decision(number int, in *instance, d *balancer.Decision) {
	switch d.Action {
	case balancer.Send:
		slot := &in.requests.slots[d.Request]
		slot.inFlight++
		e.begin("try", number).text(slot.id).milliseconds(d.After).text(in.nodes.names[d.Endpoint])
	case balancer.Cancel:
		e.begin("abort-attempt", number).text(in.requests.slots[d.Request].id).integer(int64(d.Attempt))
	case balancer.Shed:
		slot := &in.requests.slots[d.Request]
		slot.finished = true
		e.begin("busy", number).text(slot.id).milliseconds(d.After)
	case balancer.Error:
		slot := &in.requests.slots[d.Request]
		slot.finished = true
		e.begin("finish-error", number).text(slot.id)
	case balancer.SetTimer:
		in.timer++
		e.begin("wake-me", number).milliseconds(d.After).integer(in.timer)
	case balancer.PollEndpoints:
		e.begin("follow", number).raw("true")
	case balancer.NotifyPeer:
		e.begin("publish", number).integer(int64(d.Peer)).text(encodePeerReport(in.nodes.names[d.Endpoint], d.Responds))
	case balancer.Log:
		e.begin("say-log", number).text(d.Text)
	}
	e.end()
}

// begin starts a line with the name of a message and the number of the instance that sends it.
func (e *encoder) begin(name string, number int) *encoder {
	e.line = append(e.line[:0], '[', '"')
	e.line = append(append(e.line, name...), '"')
	return e.integer(int64(number))
}

// end completes the line and writes it.
func (e *encoder) end() {
	e.line = append(e.line, ']', '\n')
	e.write(e.line)
}

// raw appends a value that is already encoded as JSON.
func (e *encoder) raw(json string) *encoder {
	e.line = append(append(e.line, ','), json...)
	return e
}

func (e *encoder) integer(n int64) *encoder {
	e.line = strconv.AppendInt(append(e.line, ','), n, 10)
	return e
}

// milliseconds appends a time in milliseconds with one decimal, since balancer.Time counts tenths of a millisecond.
func (e *encoder) milliseconds(t balancer.Time) *encoder {
	e.line = strconv.AppendFloat(append(e.line, ','), float64(t)/10, 'f', 1, 64)
	return e
}

// text appends a string. Nearly all strings need no escapes and are copied without a pass through the arena.
func (e *encoder) text(s string) *encoder {
	e.line = append(e.line, ',')
	if needsEscapes(s) {
		e.line = e.arena.NewString(s).MarshalTo(e.line)
		e.arena.Reset()
		return e
	}
	e.line = append(append(append(e.line, '"'), s...), '"')
	return e
}

func needsEscapes(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return true
		}
	}
	return false
}
