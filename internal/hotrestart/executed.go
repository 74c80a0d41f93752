package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the exchange of executed ids.
const (
	executedQueueLength  = 1 << 15 // hashes that wait to be written; further ones are dropped
	executedWriteTimeout = time.Second
	maxMessageBytes      = 64 // length of a line behind the offer
	hashDigits           = 16
)

var errMalformedHash = errors.New("malformed hash")

// executedSender writes the hashes of the ids of requests that must not run twice to the other process. Sending never
// blocks: the other process may be held up.
type executedSender struct {
	conn   net.Conn
	hashes chan uint64
	close  func() // ends the goroutine; may be called more than once
}

// newExecutedSender starts a sender on a connection.
func newExecutedSender(conn net.Conn) *executedSender {
	s := &executedSender{conn: conn, hashes: make(chan uint64, executedQueueLength)}
	closed := make(chan struct{})
	s.close = sync.OnceFunc(func() { close(closed) })
	go s.run(closed)
	return s
}

// send queues a hash, or drops it if too many are queued.
func (s *executedSender) send(hash uint64) {
	select {
	case s.hashes <- hash:
	default:
	}
}

// run writes queued hashes until the sender is closed or a write fails, which the other process sees as the end of the
// connection or this one as a hash that the other process does not learn.
func (s *executedSender) run(closed <-chan struct{}) {
	for {
		select {
		case <-closed:
			return
		case hash := <-s.hashes:
			if err := s.write(hash); err != nil {
				return
			}
		}
	}
}

func (s *executedSender) write(hash uint64) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(executedWriteTimeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.conn, "%s %016x\n", executedMessage, hash)
	return err
}

// messageReader reads the lines that follow the offer on a connection.
type messageReader struct {
	reader   *bufio.Reader
	executed func(hash uint64) // called for each hash
}

func newMessageReader(conn io.Reader, executed func(hash uint64)) *messageReader {
	return &messageReader{bufio.NewReaderSize(conn, maxMessageBytes), executed}
}

// next reads lines until one that carries no hash, and returns it without its line end. It fails if the connection ends, or
// with errTooLong if a line is too long.
func (r *messageReader) next() (string, error) {
	for {
		line, err := r.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return "", errTooLong
		}
		if err != nil {
			return "", err
		}
		message := strings.TrimSuffix(string(line), "\n")
		text, found := strings.CutPrefix(message, executedMessage+" ")
		if !found {
			return message, nil
		}
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil || len(text) != hashDigits {
			return "", errMalformedHash
		}
		r.executed(hash)
	}
}

// awaitEnd reads until the connection ends or another message than a hash arrives.
func (r *messageReader) awaitEnd() { _, _ = r.next() }

// ExecutedExchange connects the exchange of executed ids to the memory of this process. Its functions may be called from any
// goroutine, and must not block.
type ExecutedExchange struct {
	Received func(hash uint64)            // called for each hash that the other process has sent
	Recent   func(send func(hash uint64)) // calls send, now or later, for each hash that a new successor has to learn
}

// executedSenders are the senders to all successors.
type executedSenders struct {
	mu  sync.Mutex
	all map[*executedSender]struct{}
}

// add adds a sender until the returned function is called.
func (s *executedSenders) add(sender *executedSender) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*executedSender]struct{}{}
	}
	s.all[sender] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.all, sender)
	}
}

func (s *executedSenders) send(hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sender := range s.all {
		sender.send(hash)
	}
}
