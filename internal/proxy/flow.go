package proxy

import (
	"errors"
	"io"
	"sync"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

const (
	pieceSize = 16 << 10
	flowSize  = 2 * pieceSize         // what a flow holds
	maxStill  = 6 * time.Second       // how long a peer that has begun a value may send nothing of it
	lookAgain = 10 * time.Millisecond // for room, where all that there is passes through
)

// flow is a value on its way from a peer's connection to a client's. Two pieces go to and fro between their goroutines,
// so that the slower one sets the pace, and no more is read than is taken.
type flow struct {
	long int
	full chan []byte   // closed by the reading side at its end
	free chan []byte   // pieces to be filled
	gone chan struct{} // nobody takes any more
	once sync.Once
	err  error // why it broke off; read once full is closed
}

func newFlow(long int) *flow {
	f := &flow{long: long, full: make(chan []byte, 2), free: make(chan []byte, 2), gone: make(chan struct{})}
	for range cap(f.free) {
		f.free <- make([]byte, 0, pieceSize)
	}
	return f
}

// drop tells the reading side that nobody takes any more.
func (f *flow) drop() { f.once.Do(func() { close(f.gone) }) }

var (
	errBroken  = errors.New("a value broke off")
	errDropped = errors.New("nobody takes the value")
)

// flow hands a value on, piece by piece. From the first piece on the try has ended for the module, and there is no other:
// what breaks off then is the client's to see, whose connection ends amid the value. The last byte waits until the peer
// has ended the value as it should, so that a length that does not fit is seen as well.
func (l *link) flow(t *try, a *wire.Answer, until time.Time) error {
	m := l.peer.router
	for !m.flows.take(flowSize) { // the answer waits where it is
		if t.undone.Load() || time.Now().After(until) {
			return &wire.Halt{Far: wire.Reading, Err: errors.New("no room for a value that passes through")}
		}
		time.Sleep(lookAgain)
	}
	defer m.flows.give(flowSize)
	if _, err := l.in.Peek(1); err != nil { // until then another try may be made
		return &wire.Halt{Far: wire.Reading, Err: err}
	}
	f := newFlow(a.Long)
	t.begun = true
	m.box.post(func() { m.ended(t, balancer.Completed, nil, f) })
	f.err = l.pour(f, a)
	close(f.full)
	return f.err
}

// pour reads the pieces.
func (l *link) pour(f *flow, a *wire.Answer) error {
	for left := a.Long; left > 0; {
		var p []byte
		select {
		case p = <-f.free:
		case <-f.gone:
			return errDropped
		}
		l.conn.SetReadDeadline(time.Now().Add(maxStill))
		n, err := l.in.Read(p[:min(left, cap(p)-2)])
		if n == 0 && err == nil {
			err = io.ErrNoProgress
		}
		if err != nil {
			return &wire.Halt{Far: wire.Reading, Err: err}
		}
		p = p[:n]
		if left -= n; left > 0 {
			f.full <- p // there are no more pieces than it has room for
			continue
		}
		if n > 1 { // all but the last byte goes on at once
			f.full <- p[:n-1]
			last := p[n-1]
			select {
			case p = <-f.free:
			case <-f.gone:
				return errDropped
			}
			p = append(p[:0], last)
			l.conn.SetReadDeadline(time.Now().Add(maxStill))
		}
		if err := a.End(l.in); err != nil {
			return err
		}
		f.full <- append(p, '\r', '\n')
	}
	return nil
}

// pass writes a flow to the client.
func (c *client) pass(f *flow) error {
	defer f.drop()
	look := time.NewTicker(lookLeft)
	defer look.Stop()
	for {
		var p []byte
		var on bool
		select {
		case p, on = <-f.full:
		case <-look.C: // others may wait behind this one
			if hungUp(c.conn) {
				return errLeft
			}
			continue
		}
		if !on {
			break
		}
		c.conn.SetWriteDeadline(time.Now().Add(maxUnread))
		if _, err := c.conn.Write(p); err != nil {
			return err
		}
		f.free <- p[:0]
	}
	if f.err != nil {
		return errBroken
	}
	return nil
}
