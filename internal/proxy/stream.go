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
	chunksPerStream      = 2
	streamBufferBytes    = chunksPerStream * chunkBytes // memory that a stream holds
	stallTimeout         = 6 * time.Second              // for an upstream that has begun a value to send more of it
	capacityPollInterval = 10 * time.Millisecond        // between checks for capacity, where there is none
)

var (
	errStreamBroken    = errors.New("stream of a value broke off")
	errStreamAbandoned = errors.New("client has abandoned the stream")
	errStreamMemory    = errors.New("no stream memory in time")
)

// stream is a value on its way from an upstream connection to a client connection. Two chunks go to and fro between
// their goroutines, so that the slower one sets the pace, and no more is read than the client accepts.
type stream struct {
	length    int           // of the value, in bytes
	filled    chan []byte   // closed by the reading side at its end
	empty     chan []byte   // chunks that can be filled again
	abandoned chan struct{} // closed when the client takes no more
	once      sync.Once     // closes abandoned
	err       error         // why the reading ended early; set before filled is closed
}

func newStream(length int) *stream {
	s := &stream{
		length:    length,
		filled:    make(chan []byte, chunksPerStream),
		empty:     make(chan []byte, chunksPerStream),
		abandoned: make(chan struct{}),
	}
	for range chunksPerStream {
		s.empty <- make([]byte, 0, chunkBytes)
	}
	return s
}

// abandon tells the reading side that the client takes no more. It may be called more than once.
func (s *stream) abandon() { s.once.Do(func() { close(s.abandoned) }) }

// nextEmpty waits for a chunk that can be filled.
func (s *stream) nextEmpty() ([]byte, error) {
	select {
	case chunk := <-s.empty:
		return chunk, nil
	case <-s.abandoned:
		return nil, errStreamAbandoned
	}
}

// clientError returns the error that ends the client's connection, or nil if the value is complete. It may be called
// once filled is closed.
func (s *stream) clientError() error {
	if s.err != nil {
		return errStreamBroken
	}
	return nil
}

// streamValue passes a value on to the client in chunks. For the balancer the attempt completes with the first chunk,
// and there is no retry after it: a value that breaks off later ends the client's connection. The last byte is held
// back until the upstream has ended the value as the protocol asks, so that a wrong length is seen by the client too.
func (u *upstreamConn) streamValue(attempt *attempt, answer *wire.Response, until time.Time) error {
	router := u.host.router
	for !router.streamMemory.tryAcquire(streamBufferBytes) { // meanwhile the answer stays in the socket
		if attempt.cancelled.Load() || time.Now().After(until) {
			return &wire.AttemptError{Progress: wire.Reading, Err: errStreamMemory}
		}
		time.Sleep(capacityPollInterval)
	}
	defer router.streamMemory.release(streamBufferBytes)
	if _, err := u.reader.Peek(1); err != nil { // until here the request can be retried
		return &wire.AttemptError{Progress: wire.Reading, Err: err}
	}
	s := newStream(answer.ValueLength)
	attempt.streaming = true
	router.mailbox.post(func() { router.attemptFinished(attempt, attemptResult{outcome: balancer.Completed, stream: s}) })
	s.err = u.readChunks(s, answer)
	close(s.filled)
	return s.err
}

// readChunks reads the value into the stream.
func (u *upstreamConn) readChunks(s *stream, answer *wire.Response) error {
	for left := answer.ValueLength; left > 0; {
		chunk, err := s.nextEmpty()
		if err != nil {
			return err
		}
		if chunk, err = u.readChunk(chunk, left); err != nil {
			return &wire.AttemptError{Progress: wire.Reading, Err: err}
		}
		if left -= len(chunk); left == 0 {
			return u.finishStream(s, answer, chunk)
		}
		s.filled <- chunk // never blocks: there are no more chunks than it has room for
	}
	return nil
}

// readChunk reads at most left bytes of the value into an empty chunk, and leaves room for the line end.
func (u *upstreamConn) readChunk(chunk []byte, left int) ([]byte, error) {
	if err := u.conn.SetReadDeadline(time.Now().Add(stallTimeout)); err != nil {
		return nil, err
	}
	n, err := u.reader.Read(chunk[:min(left, cap(chunk)-len(crlf))])
	if n == 0 && err == nil {
		err = io.ErrNoProgress
	}
	return chunk[:n], err
}

// finishStream passes on the last chunk: all but its last byte at once, and that once the value has ended as it should.
func (u *upstreamConn) finishStream(s *stream, answer *wire.Response, chunk []byte) error {
	if n := len(chunk); n > 1 {
		s.filled <- chunk[:n-1]
		last := chunk[n-1]
		next, err := s.nextEmpty()
		if err != nil {
			return err
		}
		chunk = next[:1]
		chunk[0] = last
		if err := u.conn.SetReadDeadline(time.Now().Add(stallTimeout)); err != nil {
			return &wire.AttemptError{Progress: wire.Reading, Err: err}
		}
	}
	if err := answer.ReadValueEnd(u.reader); err != nil {
		return err
	}
	chunk = append(chunk, crlf...)
	s.filled <- chunk
	return nil
}
