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
	chunkBytes           = 16 << 10
	streamBufferBytes    = 2 * chunkBytes        // what a flow holds
	stallTimeout         = 6 * time.Second       // how long a peer that has begun a value may send nothing of it
	capacityPollInterval = 10 * time.Millisecond // for room, where all that there is passes through
)

// flow is a value on its way from a peer's connection to a client's. Two pieces go to and fro between their goroutines,
// so that the slower one sets the pace, and no more is read than is taken.
type stream struct {
	length    int
	filled    chan []byte   // closed by the reading side at its end
	empty     chan []byte   // pieces to be filled
	abandoned chan struct{} // nobody takes any more
	once      sync.Once
	err       error // why it broke off; read once full is closed
}

func newStream(long int) *stream {
	stream := &stream{length: long, filled: make(chan []byte, 2), empty: make(chan []byte, 2), abandoned: make(chan struct{})}
	for range cap(stream.empty) {
		stream.empty <- make([]byte, 0, chunkBytes)
	}
	return stream
}

// drop tells the reading side that nobody takes any more.
func (s *stream) abandon() { s.once.Do(func() { close(s.abandoned) }) }

var (
	errStreamBroken    = errors.New("a value broke off")
	errStreamAbandoned = errors.New("nobody takes the value")
)

// flow hands a value on, piece by piece. From the first piece on the try has ended for the module, and there is no other:
// what breaks off then is the client's to see, whose connection ends amid the value. The last byte waits until the peer
// has ended the value as it should, so that a length that does not fit is seen as well.
func (u *upstreamConn) streamValue(attempt *attempt, answer *wire.Answer, until time.Time) error {
	r := u.host.router
	for !r.streamMemory.tryAcquire(streamBufferBytes) { // the answer waits where it is
		if attempt.cancelled.Load() || time.Now().After(until) {
			return &wire.Halt{Far: wire.Reading, Err: errors.New("no room for a value that passes through")}
		}
		time.Sleep(capacityPollInterval)
	}
	defer r.streamMemory.release(streamBufferBytes)
	if _, err := u.reader.Peek(1); err != nil { // until then another try may be made
		return &wire.Halt{Far: wire.Reading, Err: err}
	}
	stream := newStream(answer.Long)
	attempt.streaming = true
	r.mailbox.post(func() { r.attemptFinished(attempt, balancer.Completed, nil, stream) })
	stream.err = u.readChunks(stream, answer)
	close(stream.filled)
	return stream.err
}

// pour reads the pieces.
func (u *upstreamConn) readChunks(stream *stream, answer *wire.Answer) error {
	for left := answer.Long; left > 0; {
		var p []byte
		select {
		case p = <-stream.empty:
		case <-stream.abandoned:
			return errStreamAbandoned
		}
		u.conn.SetReadDeadline(time.Now().Add(stallTimeout))
		n, err := u.reader.Read(p[:min(left, cap(p)-2)])
		if n == 0 && err == nil {
			err = io.ErrNoProgress
		}
		if err != nil {
			return &wire.Halt{Far: wire.Reading, Err: err}
		}
		p = p[:n]
		if left -= n; left > 0 {
			stream.filled <- p // there are no more pieces than it has room for
			continue
		}
		if n > 1 { // all but the last byte goes on at once
			stream.filled <- p[:n-1]
			last := p[n-1]
			select {
			case p = <-stream.empty:
			case <-stream.abandoned:
				return errStreamAbandoned
			}
			p = append(p[:0], last)
			u.conn.SetReadDeadline(time.Now().Add(stallTimeout))
		}
		if err := answer.End(u.reader); err != nil {
			return err
		}
		stream.filled <- append(p, '\r', '\n')
	}
	return nil
}

// pass writes a flow to the client.
func (c *clientConn) writeStream(stream *stream) error {
	defer stream.abandon()
	look := time.NewTicker(hangupPollInterval)
	defer look.Stop()
	for {
		var p []byte
		var on bool
		select {
		case p, on = <-stream.filled:
		case <-look.C: // others may wait behind this one
			if hungUpByPeer(c.conn) {
				return errClientGone
			}
			continue
		}
		if !on {
			break
		}
		c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		if _, err := c.conn.Write(p); err != nil {
			return err
		}
		stream.empty <- p[:0]
	}
	if stream.err != nil {
		return errStreamBroken
	}
	return nil
}
