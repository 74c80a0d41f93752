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
	maxPending              = 64                    // commands of one connection that may be without a reply
	clientWriteTimeout      = stallTimeout          // for a client to accept one part of a reply
	finalReadTimeout        = 10 * time.Millisecond // for bytes that have arrived already
	hangupPollInterval      = 40 * time.Millisecond // between checks for a hang-up while nothing is read
	minUploadBytesPerSecond = 128 << 10             // slower uploads of long values are not waited for
)

// clientConn is one client's connection and its goroutine, which alone reads and writes there. Another goroutine that
// has a reply for it marks the request ready and interrupts the reading by a deadline in the past.
type clientConn struct {
	listener        *Listener
	conn            net.Conn
	reader          *bufio.Reader
	acceptedAt      time.Time
	receivedCommand bool      // at least one whole command has been read
	submitted       bool      // at least one request was handed to the router
	discardBytes    int       // bytes still to come of a value that was not admitted
	partialSince    time.Time // when the first byte of a command that is read in part came; zero: none is
	finalReadUntil  time.Time // the time for this command is over, and what has arrived is read until then; zero: it is not
	upload          *request  // a write whose value is being read, or nil
	uploadRead      int       // bytes of that value and its line end so far
	uploadDeadline  time.Time // until which each further byte extends the command's time
	writeFailed     bool      // a reply could not be written, by which the client can't get any

	mu              sync.Mutex
	pending         []*request // in the order of their commands
	requestedPhase  lifecycle.ClosePhase
	seenPhase       lifecycle.ClosePhase // the phase that the connection's goroutine has acted on
	hadCommand      bool                 // at least one command was queued for a reply
	hadRequest      bool                 // and at least one of them was proxied
	answeredRequest bool                 // a proxied request was answered since the phase was last looked at
	closed          bool                 // no reply can be written any more
	midCommand      bool                 // a command has been read in part
	lastActive      time.Time
	replyReady      chan struct{} // of capacity 1: the first pending request may have become ready
}

// clientTimeouts are the times that a client has for its commands.
type clientTimeouts struct {
	firstCommand time.Duration // from accepting it to the first byte of its first command
	command      time.Duration // from a command's first byte to its last
	idle         time.Duration // without any command
}

var defaultClientTimeouts = clientTimeouts{
	firstCommand: 2500 * time.Millisecond, command: 2500 * time.Millisecond, idle: 20 * time.Second,
}

var (
	errClosing        = errors.New("connection closing between commands")
	errIdle           = errors.New("no command for the idle timeout")
	errNoFirstCommand = errors.New("no first command in time")
	errClientGone     = errors.New("client has closed the connection")
	// errPartialCommand is told to the client: its text is part of the protocol.
	errPartialCommand = errors.New("a command that did not come whole in time")
)

// run serves the connection until it ends, and then gives up what it still owes.
func (c *clientConn) run() {
	reason := closedByPanic
	runRecovered(c.listener.log, c.listener.counters, func() {
		err := c.serve()
		reason = closeReasonOf(err)
		c.finishServing(err)
	})
	c.release(reason)
}

// serve reads commands and writes replies until the connection has to end, and returns why.
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
	err := c.fillBuffer()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.deadlineError()
	}
	return err
}

// finishServing ends the exchange of bytes with the client as the reason calls for.
func (c *clientConn) finishServing(reason error) {
	switch {
	case errors.Is(reason, wire.ErrProtocol), errors.Is(reason, errPartialCommand):
		c.listener.counters.BadClient.Add(1)
		c.listener.log.Warn("client connection closed on bad input",
			zap.Error(reason), zap.Stringer("from", c.conn.RemoteAddr()))
		c.closeWithError(reason)
	case errors.Is(reason, errClosing) && c.hadCommand, errors.Is(reason, errIdle), errors.Is(reason, errNoFirstCommand):
		c.endUnread() // a request that arrives just now goes unread, and the client retries it elsewhere
	}
}

// release closes the connection and gives up all requests that are still pending.
func (c *clientConn) release(reason closeReason) {
	_ = c.conn.Close() // nothing more is written or read; the client sees a failure as a reset
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

// closeWithError tells the client why its connection ends, after the replies that are still pending.
func (c *clientConn) closeWithError(reason error) {
	if c.upload != nil {
		c.upload.release(c.listener)
		c.upload = nil
	}
	req := &request{conn: c}
	c.enqueue(req)
	req.setReply([]byte("-ERR "+reason.Error()+"\r\n"), nil)
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

// readLimit is until when more bytes are waited for (zero: without limit), and the error if none have come by then.
type readLimit struct {
	at  time.Time
	err error
}

// readLimit returns how long the next bytes may take. A client may be silent without limit while replies are pending.
func (c *clientConn) readLimit(hasPending bool) readLimit {
	timeouts := &c.listener.timeouts
	switch {
	case !c.partialSince.IsZero():
		return readLimit{c.partialSince.Add(timeouts.command), errPartialCommand}
	case hasPending:
		return readLimit{}
	case !c.receivedCommand:
		return readLimit{c.acceptedAt.Add(timeouts.firstCommand), errNoFirstCommand}
	}
	return readLimit{c.lastActive.Add(timeouts.idle), errIdle}
}

// deadlineError returns why the connection has to end if its time is up, and nil if the reading was interrupted for
// another reason. What has arrived by then came in time and is read first, once for each command: one that drips on has
// its time all the same.
func (c *clientConn) deadlineError() error {
	limit := c.passedLimit()
	if limit.err == nil {
		return nil
	}
	conditions := c.conditions()
	conditions.CommandPartial = !c.partialSince.IsZero()
	conditions.InputUnread = c.finalReadUntil.IsZero() && hasUnread(c.conn)
	if conditions.MayExpire().Permitted() {
		return limit.err
	}
	c.finalReadUntil = time.Now().Add(finalReadTimeout)
	return nil
}

// passedLimit returns the limit that has passed; one without an error if none has.
func (c *clientConn) passedLimit() readLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := c.readLimit(len(c.pending) > 0); limit.err != nil && !time.Now().Before(limit.at) {
		return limit
	}
	return readLimit{}
}

// awaitReply waits until the next reply may be ready. Nothing is read meanwhile, so a hang-up is looked for: requests
// of a client that has gone must not be sent to an upstream.
func (c *clientConn) awaitReply() error { return c.awaitEvent(c.replyReady) }

// awaitEvent waits for an event, and returns errClientGone if the client hangs up first.
func (c *clientConn) awaitEvent(events <-chan struct{}) error {
	select {
	case <-events:
		return nil
	default:
	}
	hangupPoll := time.NewTicker(hangupPollInterval)
	defer hangupPoll.Stop()
	for {
		select {
		case <-events:
			return nil
		case <-hangupPoll.C:
			if hungUpByPeer(c.conn) {
				return errClientGone
			}
		}
	}
}

// conditions returns what decides on the connection's next step, with the phase that its goroutine has acted on.
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

// pendingFull reports whether as many commands as a connection may have are without a reply.
func (c *clientConn) pendingFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) >= maxPending
}

func (c *clientConn) enqueue(req *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, req)
	c.hadCommand = true
	c.hadRequest = c.hadRequest || req.proxied
}
