package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 16

// Errors in the framing of messages and batches.
var (
	errNotJSON      = errors.New("not JSON")
	errNotMessage   = errors.New("not an array that begins with a message name")
	errOutsideBatch = errors.New("outside a batch")
	errInsideBatch  = errors.New("inside a batch")
	errUnfinished   = errors.New("input ends inside a batch")
	errUnknown      = errors.New("unknown message")
)

// adapter holds the state of one session with the simulator.
type adapter struct {
	lines     lineReader
	parser    fastjson.Parser
	replies   encoder
	inBatch   bool
	now       balancer.Time // the simulator's clock at the start of the current batch
	instances map[int]*instance
	lists     listBanks
}

// Serve reads batches of messages from in and writes one reply for each batch to out, until it reaches the end of in.
// The text of a returned error is a single line that names the input line, the message and the invalid field. Serve
// starts no goroutines.
func Serve(in io.Reader, out io.Writer) error {
	a := &adapter{
		lines:     lineReader{in: bufio.NewReaderSize(in, bufferSize)},
		replies:   encoder{out: bufio.NewWriterSize(out, bufferSize)},
		instances: map[int]*instance{},
	}
	for {
		line, err := a.lines.next()
		switch {
		case errors.Is(err, io.EOF) && a.inBatch:
			err = errUnfinished
		case errors.Is(err, io.EOF):
			return nil
		case err == nil && (len(line) > 0 || a.inBatch):
			err = a.serveLine(line)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", a.lines.number, err)
		}
	}
}

// serveLine parses and handles the message on one input line.
func (a *adapter) serveLine(line []byte) error {
	m, err := a.parseMessage(line)
	if err != nil {
		return err
	}
	if !a.inBatch {
		if m.name != "mark" {
			return fmt.Errorf("%s: %w", m.name, errOutsideBatch)
		}
		a.now = m.time(0, "clock", jsonvalue.Required)
		a.inBatch = true
		return m.err
	}
	switch m.name {
	case "mark":
		return fmt.Errorf("%s: %w", m.name, errInsideBatch)
	case "go":
		a.inBatch = false
		return a.replies.endOfReply()
	case "register":
		a.lists.register(m)
		return m.err
	}
	return a.serveInstance(m)
}

// parseMessage parses one input line. The returned message is valid until the next call.
func (a *adapter) parseMessage(line []byte) (*message, error) {
	v, err := a.parser.ParseBytes(line)
	if err != nil {
		return nil, errNotJSON
	}
	values, err := v.Array()
	if err != nil || len(values) == 0 || values[0].Type() != fastjson.TypeString {
		return nil, errNotMessage
	}
	return &message{name: string(values[0].GetStringBytes()), values: values[1:]}, nil
}

// handler handles a message for an instance and returns the decisions of the instance's balancer. The instance is nil
// only for the boot message that starts it. A handler that fails stores the error in the message and returns no
// decisions.
type handler func(*adapter, *instance, *message) []balancer.Decision

// handlers holds the handlers of the messages that are addressed to an instance, by message name.
var handlers = map[string]handler{
	"boot":          (*adapter).start,
	"power-off":     (*adapter).stop,
	"fleet":         (*adapter).updateEndpoints,
	"order":         (*adapter).requestArrived,
	"started":       (*adapter).streamStarted,
	"returned":      (*adapter).attemptFinished,
	"client-left":   (*adapter).clientLeft,
	"timeout-fired": (*adapter).timerFired,
	"sampled":       (*adapter).probed,
	"from-peer":     (*adapter).peerReported,
}

// serveInstance handles a message for the instance that the message names, and encodes the resulting decisions.
func (a *adapter) serveInstance(m *message) error {
	handle, ok := handlers[m.name]
	if !ok {
		return fmt.Errorf("%s: %w", m.name, errUnknown)
	}
	m.instance = m.count(0, "who", jsonvalue.Required)
	if m.err != nil {
		return m.err
	}
	in := a.instances[m.instance]
	if in == nil && m.name != "boot" {
		return fmt.Errorf("%s: who: instance %d is not running", m.name, m.instance)
	}
	decisions := handle(a, in, m)
	if m.err != nil {
		return m.err
	}
	if in != nil {
		a.replies.decisions(m.instance, in, decisions)
	}
	return nil
}
