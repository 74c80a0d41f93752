package simadapter

import (
	"bufio"
	"strconv"

	"woodproxy/balancer"

	"github.com/valyala/fastjson"
)

// encoder writes the lines of replies. They are buffered up to the end of the reply.
type encoder struct {
	out   *bufio.Writer
	line  []byte // the line that is being encoded
	arena fastjson.Arena
}

// endOfReply writes the last line of a reply and flushes it. It returns the first error of any write.
func (e *encoder) endOfReply() error {
	e.write([]byte("[\"eor\"]\n"))
	return e.out.Flush()
}

func (e *encoder) write(line []byte) {
	_, _ = e.out.Write(line) // a bufio.Writer keeps its first error, which Flush returns
}

// decisions encodes an instance's decisions in their order, and then frees the slots of the requests that they end.
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

// decision encodes one decision and notes what the instance has to know of it later.
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
		slot.over = true
		e.begin("busy", number).text(slot.id).milliseconds(d.After)
	case balancer.Error:
		slot := &in.requests.slots[d.Request]
		slot.over = true
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

// begin opens a line with the name of a message and the number of the instance that it is from.
func (e *encoder) begin(name string, number int) *encoder {
	e.line = append(e.line[:0], '[', '"')
	e.line = append(append(e.line, name...), '"')
	return e.integer(int64(number))
}

// end closes the line and writes it.
func (e *encoder) end() {
	e.line = append(e.line, ']', '\n')
	e.write(e.line)
}

// raw adds a value that is JSON already.
func (e *encoder) raw(json string) *encoder {
	e.line = append(append(e.line, ','), json...)
	return e
}

func (e *encoder) integer(n int64) *encoder {
	e.line = strconv.AppendInt(append(e.line, ','), n, 10)
	return e
}

// milliseconds adds a time in milliseconds, with a decimal for balancer's tenths.
func (e *encoder) milliseconds(t balancer.Time) *encoder {
	e.line = strconv.AppendFloat(append(e.line, ','), float64(t)/10, 'f', 1, 64)
	return e
}

// text adds a string. Nearly all need no escapes and are copied.
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
