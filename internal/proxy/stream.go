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
	chunkBytes        = 16 << 10
	chunksPerStream   = 2
	streamBufferBytes = chunksPerStream * chunkBytes // memory of a stream's buffers
	stallTimeout      = 6 * time.Second              // maximum time without input from an upstream amid a value
)

var (
	errStreamBroken    = errors.New("stream of a value broke off")
	errStreamAbandoned = errors.New("client has abandoned the stream")
)

// stream passes a value from an upstream connection to a client connection. The goroutines of the two exchange two
// chunks, so that the slower one sets the pace and the proxy does not read more than the client accepts.
type stream struct {
	length    int           // length of the value in bytes
	filled    chan []byte   // closed by the upstream connection at the end
	empty     chan []byte   // chunks to be filled again
	abandoned chan struct{} // closed when the client accepts no more
	once      sync.Once     // guards the closing of abandoned
	err       error         // error that ended the reading early; set before filled is closed
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

// abandon signals the upstream connection that the client accepts no more. It may be called more than once.
func (s *stream) abandon() { s.once.Do(func() { close(s.abandoned) }) }

// nextEmpty waits for an empty chunk. It fails with errStreamAbandoned if the stream is abandoned.
func (s *stream) nextEmpty() ([]byte, error) {
	select {
	case chunk := <-s.empty:
		return chunk, nil
	case <-s.abandoned:
		return nil, errStreamAbandoned
	}
}

// clientError returns the error that closes the client's connection, or nil if the value is complete. It may only be
// called once filled is closed.
func (s *stream) clientError() error {
	if s.err != nil {
		return errStreamBroken
	}
	return nil
}

// streamValue streams a value that is not empty to the client. For the balancer the attempt completes with the first byte, or
// when the request is out of time and the reply begins without a byte. After that there is no retry: a value that breaks off
// later closes the client's connection. The last byte is sent only when the upstream has ended its response according to the
// protocol, so that the client detects a wrong length as well.
func (u *upstreamConn) streamValue(attempt *attempt, response *wire.Response, until time.Time) error {
	router := u.host.router
	acquire := func() bool { return router.streamMemory.tryAcquire(streamBufferBytes) }
	if err := awaitMemory(attempt, until, acquire); err != nil {
		return &wire.AttemptError{Progress: wire.Reading, Err: err}
	}
	defer router.streamMemory.release(streamBufferBytes)
	if err := u.awaitValue(attempt, until); err != nil { // up to here the request can be retried
		return &wire.AttemptError{Progress: wire.Reading, Err: err}
	}
	s := newStream(response.ValueLength)
	attempt.streaming = true
	attempt.request.valueMemory.retain() // the router's part ends with the result, which is reported before the stream ends
	defer attempt.request.valueMemory.release()
	router.mailbox.post(func() {
		router.attemptFinished(attempt, attemptResult{outcome: balancer.Completed, stream: s, conn: u.use})
	})
	s.err = u.readChunks(s, response)
	close(s.filled)
	return s.err
}

// readChunks reads a value that is not empty into the stream. It returns an error if the value breaks off or the stream is
// abandoned.
func (u *upstreamConn) readChunks(s *stream, response *wire.Response) error {
	for remaining := response.ValueLength; remaining > 0; {
		chunk, err := s.nextEmpty()
		if err != nil {
			return err
		}
		if chunk, err = u.readChunk(chunk, remaining); err != nil {
			return &wire.AttemptError{Progress: wire.Reading, Err: err}
		}
		if remaining -= len(chunk); remaining == 0 {
			return u.finishStream(s, response, chunk)
		}
		s.filled <- chunk // never blocks: the channel has the capacity for all chunks
	}
	return nil
}

// readChunk reads at most remaining bytes of the value into an empty chunk, and leaves space for the line end.
func (u *upstreamConn) readChunk(chunk []byte, remaining int) ([]byte, error) {
	if err := u.conn.SetReadDeadline(time.Now().Add(stallTimeout)); err != nil {
		return nil, err
	}
	n, err := u.reader.Read(chunk[:min(remaining, cap(chunk)-len(crlf))])
	if n == 0 && err == nil {
		err = io.ErrNoProgress
	}
	return chunk[:n], err
}

// finishStream passes the last chunk to the client: all but its last byte at once, and the last byte with the line end
// once the upstream has ended its response correctly.
func (u *upstreamConn) finishStream(s *stream, response *wire.Response, chunk []byte) error {
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
	if err := response.ReadValueEnd(u.reader); err != nil {
		return err
	}
	if err := response.SkipTrailing(u.reader); err != nil {
		return err
	}
	if u.host.isOrigin && u.served > 0 && u.hasInputBehind(response) { // a value of the origin is the end of its response
		return &wire.AttemptError{Progress: wire.Reading, Err: errInputBehindResponse}
	}
	chunk = append(chunk, crlf...)
	s.filled <- chunk
	return nil
}
