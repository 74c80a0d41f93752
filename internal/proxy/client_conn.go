package proxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	maxPending              = 64                    // maximum number of commands without a reply per connection
	clientWriteTimeout      = stallTimeout          // limit for a client to accept one part of a reply
	finalReadTimeout        = 10 * time.Millisecond // limit for reading bytes that have already arrived
	hangupPollInterval      = 40 * time.Millisecond // interval between checks for a hang-up while nothing is read
	minUploadBytesPerSecond = 128 << 10             // slower uploads of long values time out
)

// clientConn is one client's connection. Only its own goroutine reads from it and writes to it. Another goroutine that
// has a reply marks the request as ready and interrupts a blocked read by setting a deadline in the past.
type clientConn struct {
	listener        *Listener
	conn            net.Conn
	reader          *bufio.Reader
	acceptedAt      time.Time
	receivedCommand bool      // at least one command has been read completely, except for its value
	submitted       bool      // queuedTime has been called for the first request
	discardBytes    int       // remaining bytes of a value that was not admitted
	partialSince    time.Time // arrival of the first byte of a partially read command; zero if there is none
	finalReadUntil  time.Time // deadline for reading bytes that arrived before the command timed out; zero before the timeout
	upload          *request  // the write whose value is being read, or nil
	uploadRead      int       // bytes read so far of that value and its line end
	uploadDeadline  time.Time // until then, each read of a long value restarts the command timeout
	writeFailed     bool      // a reply could not be written, so the client can't receive any other
	pacer           commandPacer
	input           inputClock
	pauseLogged     bool // the first pause has been logged

	mu              sync.Mutex
	pending         []*request           // requests without a written reply, in the order of their commands
	requestedPhase  lifecycle.ClosePhase // the phase that other goroutines have requested
	seenPhase       lifecycle.ClosePhase // the phase that the connection's goroutine has acted on
	hadCommand      bool                 // at least one command was queued for a reply
	hadRequest      bool                 // at least one proxied request was queued for a reply
	answeredRequest bool                 // the reply to a proxied request was written since the last updatePhase
	closed          bool                 // no further reply can be written
	midCommand      bool                 // a command has been read partially
	lastActive      time.Time            // time of the last updatePhase, which follows each read and each reply
	replyReady      chan struct{}        // capacity 1; signals that the first pending request may be ready
}

// clientTimeouts are the time limits for a client's commands.
type clientTimeouts struct {
	firstCommand time.Duration // from accepting the connection to the first byte of its first command
	command      time.Duration // from the first byte of a command to its last byte
	idle         time.Duration // between commands
}

var defaultClientTimeouts = clientTimeouts{
	firstCommand: 2500 * time.Millisecond, command: 2500 * time.Millisecond, idle: 20 * time.Second,
}

var (
	errClosing        = errors.New("connection closing between commands")
	errIdle           = errors.New("no command within the idle timeout")
	errNoFirstCommand = errors.New("no first command in time")
	errClientGone     = errors.New("client closed the connection")
	// errPartialCommand is sent to the client. Its text is part of the protocol.
	errPartialCommand = errors.New("a command that did not come whole in time")
)

// run serves the connection until it ends, and then abandons the requests that are still pending.
func (c *clientConn) run() {
	reason := closedByPanic
	runRecovered(c.listener.log, c.listener.counters, func() {
		err := c.serve()
		reason = closeReasonOf(err)
		c.finishServing(err)
	})
	c.release(reason)
}

// serve reads commands and writes replies until the connection has to end. It returns the cause.
func (c *clientConn) serve() error {
	for {
		if err := c.flush(); err != nil {
			return err
		}
		if err := c.readCommands(); err != nil {
			return err
		}
		if err := c.awaitInput(); err != nil {
			return err
		}
	}
}

// awaitInput waits until there are more bytes to parse or more replies to write.
func (c *clientConn) awaitInput() error {
	conditions := c.conditions()
	switch {
	case conditions.MayCloseUnread().Permitted():
		return errClosing
	case !conditions.MayRead().Permitted():
		return c.awaitReply()
	}
	if pause := c.pacer.pause(time.Now()); pause > 0 {
		return c.awaitResume(pause)
	}
	err := c.fillBuffer()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.deadlineError()
	}
	return err
}

// finishServing ends the communication with the client according to the error that serve returned: with an error reply
// after bad input or a command that was not complete in time, and by closing the sending side after a requested close or
// another timeout.
func (c *clientConn) finishServing(reason error) {
	switch {
	case errors.Is(reason, wire.ErrProtocol), errors.Is(reason, errPartialCommand):
		c.listener.counters.BadClient.Add(1)
		c.listener.log.Warn("client connection closed on bad input",
			zap.Error(reason), zap.Stringer("from", c.conn.RemoteAddr()))
		c.closeWithError(reason)
	case errors.Is(reason, errClosing) && c.hadCommand, errors.Is(reason, errIdle), errors.Is(reason, errNoFirstCommand):
		c.endUnread() // a request that arrives now is not read, and the client retries it elsewhere
	}
}

// release closes the connection and abandons all requests that are still pending.
func (c *clientConn) release(reason closeReason) {
	_ = c.conn.Close() // nothing is read or written afterwards; the client sees a failure as a reset
	c.mu.Lock()
	pending := c.pending
	c.pending, c.closed = nil, true
	c.mu.Unlock()
	router := c.listener.router
	c.recordClose(reason, pending)
	for _, req := range pending {
		router.endRequest(req, lifecycle.ClientLeft)
		req.release(c.listener)
		router.mailbox.post(func() { router.clientGone(req) })
	}
	if c.upload != nil {
		c.upload.release(c.listener)
	}
	c.listener.remove(c)
}

// closeWithError writes the pending replies, then an error reply with the reason, and ends the sending side.
func (c *clientConn) closeWithError(reason error) {
	if c.upload != nil {
		c.upload.release(c.listener)
		c.upload = nil
	}
	req := &request{conn: c}
	c.enqueue(req)
	req.setReply(clientReply{header: []byte("-ERR " + reason.Error() + "\r\n")})
	for c.hasPending() {
		if err := c.flush(); err != nil && !errors.Is(err, errClosing) {
			c.writeFailed = true
			return
		}
		if c.hasPending() && c.awaitReply() != nil {
			c.writeFailed = true
			return
		}
	}
	c.endDiscarding()
}

// conditions returns the conditions for the connection's next step, with the phase that its goroutine has acted on.
func (c *clientConn) conditions() lifecycle.ClientConnConditions {
	c.mu.Lock()
	defer c.mu.Unlock()
	conditions := c.conditionsLocked()
	conditions.Phase = c.seenPhase
	return conditions
}

func (c *clientConn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// pendingFull reports whether the connection has the maximum number of commands without a reply.
func (c *clientConn) pendingFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) >= maxPending
}

// enqueue appends a request to the pending ones, whose replies are written in this order.
func (c *clientConn) enqueue(req *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, req)
	c.hadCommand = true
	c.hadRequest = c.hadRequest || req.proxied
}
