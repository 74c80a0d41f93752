package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	maxPending              = 64                      // commands of one connection that may be without an answer
	firstCommandTimeout     = 2500 * time.Millisecond // how long a client may take to its first command
	commandTimeout          = 2500 * time.Millisecond // how long a command may take from its first byte to its last
	clientIdleTimeout       = 20 * time.Second        // how long a client may ask nothing more
	clientWriteTimeout      = stallTimeout            // how long a client may take to accept a part of an answer
	lingerTimeout           = 200 * time.Millisecond  // for what a client still sends that has been told why its connection ends
	lingerMaxBytes          = 256 << 10
	hangupPollInterval      = 40 * time.Millisecond // between looks whether a client has left, where nothing is read
	minUploadBytesPerSecond = 128 << 10             // bytes a second of a long value, below which it is not waited for
)

// client is one client's connection and its goroutine, which alone reads and writes there. Whoever has an
// answer for it marks it ready and wakes the reading by its deadline.
type clientConn struct {
	listener        *Door
	conn            net.Conn
	reader          *bufio.Reader
	acceptedAt      time.Time
	receivedCommand bool      // a whole command has come
	discardBytes    int       // bytes of a value for which there was no place, still to come
	partialSince    time.Time // when its first byte came, if a command has come in part
	upload          *request  // a write whose value is being read
	uploadRead      int       // bytes of that value and of its line end so far
	uploadDeadline  time.Time // until when it may go on

	mu              sync.Mutex
	pending         []*request // in the order of their commands
	requestedPhase  closePhase // how it is to end, if it is
	seenPhase       closePhase // what its goroutine knows of that
	hadCommand      bool       // something was owed before
	hadRequest      bool       // and it was an exchange
	answeredRequest bool       // an exchange was answered since it was last looked whether to end
	closed          bool       // nothing can be answered any more
	midCommand      bool       // a command has come in part
	lastActive      time.Time
	replyReady      chan struct{} // the first request has become ready
}

// parting is how far a connection is on its way out.
type closePhase uint8

const (
	phaseOpen            closePhase = iota
	phaseCloseAfterReply            // closed behind its next answer: no request can cross that
	phaseCloseWhenIdle              // closed once nothing is owed
	phaseStopReading                // takes no further command either
)

var (
	errClosing        = errors.New("closed between commands")
	errPartialCommand = errors.New("a command that did not come whole in time")
	errNoFirstCommand = errors.New("no command in time")
	errClientGone     = errors.New("the client has closed")
)

// run serves the connection until its end.
func (c *clientConn) run() {
	listener := c.listener
	var err error
	runRecovered(listener.log, listener.counters, func() {
		if err = c.serve(); errors.Is(err, wire.ErrBytes) || errors.Is(err, errPartialCommand) {
			listener.counters.BadClient.Add(1)
			listener.log.Warn("client's connection ended", zap.Error(err), zap.Stringer("from", c.conn.RemoteAddr()))
			c.closeWithError(err)
		} else if errors.Is(err, errClosing) && c.hadCommand || errors.Is(err, errNoFirstCommand) { // a request may come just now: it goes unread, and is asked again elsewhere
			c.linger()
		}
	})
	c.conn.Close()
	c.mu.Lock()
	owed := c.pending
	c.pending, c.closed = nil, true
	c.mu.Unlock()
	for _, req := range owed {
		req.finished.Store(true)
		req.release(listener)
		listener.router.mailbox.post(func() { listener.router.clientGone(req) })
	}
	if c.upload != nil {
		c.upload.release(listener)
	}
	listener.remove(c)
}

func (c *clientConn) serve() error {
	for {
		if err := c.flush(); err != nil {
			return err
		}
		if err := c.readCommands(); err != nil {
			return err
		}
		if c.seenPhase == phaseStopReading { // no more is read; what was read is answered
			if !c.hasPending() {
				return errClosing
			}
			if err := c.awaitReply(); err != nil {
				return err
			}
			continue
		}
		if c.pendingFull() { // no more is read until an answer has gone out, or the buffer would run over
			if err := c.awaitReply(); err != nil {
				return err
			}
			continue
		}
		if err := c.fillBuffer(); errors.Is(err, os.ErrDeadlineExceeded) {
			err = c.deadlineError()
			if err != nil {
				return err
			}
		} else if err != nil {
			return err
		}
	}
}

// until tells how long more bytes are waited for, and what it means when none have come by then; a zero time is for
// ever, as long as answers are owed.
func (c *clientConn) readDeadline(owes bool) (time.Time, error) {
	switch {
	case !c.partialSince.IsZero():
		return c.partialSince.Add(commandTimeout), errPartialCommand
	case owes:
		return time.Time{}, nil
	case !c.receivedCommand:
		return c.acceptedAt.Add(firstCommandTimeout), errNoFirstCommand
	}
	return c.lastActive.Add(clientIdleTimeout), errClosing
}

// late tells why the connection is to end, if its time is up; else it was woken for another reason.
func (c *clientConn) deadlineError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, err := c.readDeadline(len(c.pending) > 0); err != nil && !time.Now().Before(at) {
		return err
	}
	return nil
}

// dismiss tells a client why its connection ends, after the answers that it is owed; what it still sends is passed over
// for a moment, or the answers would be lost to a reset.
func (c *clientConn) closeWithError(why error) {
	if c.upload != nil {
		c.upload.release(c.listener)
		c.upload = nil
	}
	req := &request{conn: c}
	c.enqueue(req)
	req.setReply([]byte("-ERR "+why.Error()+"\r\n"), nil)
	for c.hasPending() {
		if err := c.flush(); err != nil && err != errClosing {
			return
		}
		if c.hasPending() && c.awaitReply() != nil {
			return
		}
	}
	c.linger()
}

// linger ends the sending and passes over what still comes for a moment: to close on unread bytes resets the
// connection, and what was written last may be lost with that.
func (c *clientConn) linger() {
	c.mu.Lock()
	c.requestedPhase = phaseStopReading // nobody wakes it from now on
	c.mu.Unlock()
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.conn, lingerMaxBytes)
	}
}

// await waits for the next answer where no bytes are read, which would tell that the client has left: what it asked
// and is not begun is not to begin then.
func (c *clientConn) awaitReply() error { return c.awaitEvent(c.replyReady) }

// stay waits for one of the events, or until the client has left.
func (c *clientConn) awaitEvent(events <-chan struct{}) error {
	select {
	case <-events:
		return nil
	default:
	}
	look := time.NewTicker(hangupPollInterval)
	defer look.Stop()
	for {
		select {
		case <-events:
			return nil
		case <-look.C:
			if hungUpByPeer(c.conn) {
				return errClientGone
			}
		}
	}
}

func (c *clientConn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// fill waits for more bytes than there are, or to be woken.
func (c *clientConn) fillBuffer() error {
	c.mu.Lock()
	if c.requestedPhase == c.seenPhase && (len(c.pending) == 0 || !c.pending[0].ready) { // or a wake would be undone
		at, _ := c.readDeadline(len(c.pending) > 0)
		c.conn.SetReadDeadline(at)
	}
	c.mu.Unlock()
	if c.upload != nil {
		n, err := c.reader.Read(c.upload.value[c.uploadRead:cap(c.upload.value)])
		c.uploadRead += n
		if now := time.Now(); n > 0 && cap(c.upload.value) > wire.MaxValue+2 && now.Before(c.uploadDeadline) {
			c.partialSince = now // a long one may take its time, as long as it goes on
		}
		return err
	}
	_, err := c.reader.Peek(c.reader.Buffered() + 1)
	if errors.Is(err, bufio.ErrBufferFull) {
		err = wire.ErrBytes
	}
	return err
}

// flush writes the answers whose turn it is, those up to a value that comes piece by piece gathered into one write.
func (c *clientConn) flush() error {
	for {
		c.mu.Lock()
		ready := 0
		var stream *stream
		for ready < len(c.pending) && c.pending[ready].ready && stream == nil {
			stream = c.pending[ready].stream
			ready++
		}
		done := slices.Clone(c.pending[:ready])
		c.mu.Unlock()
		if ready == 0 {
			break
		}
		if err := c.writeReplies(done, stream); err != nil {
			return err // what is owed yet is given back with the connection
		}
		c.mu.Lock()
		c.pending = slices.Delete(c.pending, 0, ready) // and with them what they hold
		c.answeredRequest = c.answeredRequest || slices.ContainsFunc(done, func(req *request) bool { return req.proxied })
		c.mu.Unlock()
		for _, req := range done {
			req.release(c.listener)
		}
	}
	c.mu.Lock()
	// behind an exchange, that is: PING asks how it stands
	quit := (c.requestedPhase >= phaseCloseWhenIdle || c.requestedPhase == phaseCloseAfterReply && c.answeredRequest) && len(c.pending) == 0 && c.upload == nil && c.reader.Buffered() == 0
	c.midCommand = c.upload != nil || c.discardBytes > 0 || c.reader.Buffered() > 0
	c.lastActive, c.seenPhase, c.answeredRequest = time.Now(), c.requestedPhase, false
	c.mu.Unlock()
	if quit && !hasUnread(c.conn) { // else a request has come meanwhile, and is answered first
		return errClosing
	}
	return nil
}

func (c *clientConn) writeReplies(done []*request, stream *stream) error {
	out := make(net.Buffers, 0, 3*len(done))
	for _, req := range done {
		if out = append(out, req.header); req.body != nil {
			out = append(out, req.body, crlf)
		}
	}
	c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := out.WriteTo(c.conn); err != nil || stream == nil {
		return err
	}
	return c.writeStream(stream)
}

// partly notes that a command has come in part.
func (c *clientConn) markPartial() {
	if c.partialSince.IsZero() {
		c.partialSince = time.Now()
	}
}

// read takes the commands that have come whole, as many as there may be.
func (c *clientConn) readCommands() error {
	for !c.pendingFull() {
		if c.discardBytes > 0 {
			n, _ := c.reader.Discard(min(c.discardBytes, c.reader.Buffered()))
			if c.discardBytes -= n; c.discardBytes > 0 {
				c.markPartial()
				return nil
			}
			c.partialSince = time.Time{}
		}
		if c.upload != nil {
			req := c.upload
			if c.uploadRead < cap(req.value) {
				c.markPartial()
				return nil
			}
			n := c.uploadRead - 2
			if req.value[:c.uploadRead][n] != '\r' || req.value[:c.uploadRead][n+1] != '\n' {
				return wire.ErrBytes
			}
			req.value, c.upload, c.partialSince = req.value[:n:n], nil, time.Time{}
			c.submit(req)
			continue
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		cmd, n, err := wire.ParseCommand(b)
		if errors.Is(err, wire.ErrShort) {
			if len(b) > 0 {
				c.markPartial()
			}
			return nil
		}
		if err != nil {
			return err
		}
		req := c.beginCommand(&cmd)
		c.reader.Discard(n)
		c.receivedCommand = true
		if cmd.Value < 0 {
			c.partialSince = time.Time{}
		}
		switch {
		case cmd.Value >= 0 && req == nil:
			c.discardBytes = cmd.Value + 2
		case cmd.Value > wire.MaxValue && !c.listener.admitsLongValue(cmd.Value):
			c.discardBytes = cmd.Value + 2
			req.release(c.listener)
			c.shedRequest()
		case cmd.Value >= 0:
			req.value, c.upload, c.uploadRead = make([]byte, 0, cmd.Value+2), req, 0
			req.valueBytes = cmd.Value
			c.listener.router.valueMemory.acquire(req.valueBytes)
			c.uploadDeadline = time.Now().Add(commandTimeout + time.Duration(cmd.Value)*time.Second/minUploadBytesPerSecond)
		case req != nil:
			c.submit(req)
		}
	}
	return nil
}

// crowded tells whether as many commands as a connection may have are without an answer.
func (c *clientConn) pendingFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) >= maxPending
}

// begin makes a request of a command and answers at once what is no exchange, for which it returns nil.
func (c *clientConn) beginCommand(cmd *wire.Command) *request {
	if !cmd.Is("KV.GET") && !cmd.Is("KV.SET") {
		req := &request{conn: c}
		c.enqueue(req)
		if cmd.Is("PING") && c.awaitEvent(c.listener.ready) != nil { // until clients are served
			return nil // has left, as the next reading tells
		}
		req.setReply(c.listener.controlReply(cmd))
		return nil
	}
	listener := c.listener
	listener.counters.Exchanges.Add(1)
	if listener.counters.Held.Add(1) > listener.maxRequests.Load() || listener.router.valueMemory.available.Load() <= 0 {
		listener.counters.Held.Add(-1)
		c.shedRequest()
		return nil
	}
	all := make([]byte, 0, len(cmd.Name)+len(cmd.Key)+len(cmd.ID)+len(cmd.Facts))
	keep := func(b []byte) []byte {
		n := len(all)
		all = append(all, b...)
		return all[n:len(all):len(all)]
	}
	return &request{conn: c, proxied: true, admitted: true, name: keep(cmd.Name), key: keep(cmd.Key), id: keep(cmd.ID), facts: keep(cmd.Facts)}
}

// refuse sheds an exchange for which there is no room.
func (c *clientConn) shedRequest() {
	c.listener.counters.Crowded.Add(1)
	req := &request{conn: c, proxied: true}
	c.enqueue(req)
	req.reply(c.listener.counters, replyShed, nil, c.listener.retryAfterMS)
}

func (c *clientConn) enqueue(req *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.hadCommand, c.hadRequest = append(c.pending, req), true, c.hadRequest || req.proxied
}

// ask puts an exchange that has come whole to the module.
func (c *clientConn) submit(req *request) {
	listener := c.listener
	c.enqueue(req)
	facts, err := wire.ParseFacts(req.facts)
	if err == nil {
		err = wire.Plain(req.id, req.facts) // they become HTTP headers, which a line end in them would add to
	}
	if len(req.id) == 0 || len(req.key) == 0 {
		err = wire.ErrBytes // servers turn such a one away, each of them
	}
	if err != nil {
		listener.log.Warn("facts not understood", zap.Error(err), zap.ByteString("facts", req.facts))
		req.setReply([]byte("-ERR bad facts\r\n"), nil)
		return
	}
	req.route, req.tenant, req.waitMS, req.isRetry = string(facts.Route), string(facts.Tenant), facts.Wait, facts.Repeat
	req.receivedAt = listener.router.clock.Now()
	if listener.router.negativeCache.lookUp(req) {
		req.reply(listener.router.counters, replyNotFound, nil, 0)
		return
	}
	listener.router.mailbox.post(func() { listener.router.handleRequest(req) })
}

// part has the connection end, sooner if it was to end already.
func (c *clientConn) requestPhase(phase closePhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if phase <= c.requestedPhase {
		return
	}
	c.requestedPhase = phase
	c.conn.SetReadDeadline(pastDeadline)
	c.wake()
}

// wake has the goroutine look again where it waits for an answer to become ready.
func (c *clientConn) wake() {
	select {
	case c.replyReady <- struct{}{}:
	default:
	}
}

// standing is what the door looks at when it needs a place.
type connState struct {
	lastActive             time.Time // of the last answer or byte
	hadCommand, midCommand bool
	closable, closing      bool // can be done without; is about to go
}

func (c *clientConn) state() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	// one that was to end between commands and is half way through one may still be cut off
	return connState{
		c.lastActive, c.hadCommand, c.midCommand, len(c.pending) == 0 && (c.requestedPhase < phaseCloseWhenIdle || c.midCommand && c.requestedPhase < phaseStopReading),
		c.requestedPhase >= phaseCloseWhenIdle && !c.midCommand || c.requestedPhase == phaseStopReading,
	}
}

// drains tells since when nothing has been owed, whether the connection can be done without, and whether it has ever
// carried an exchange.
func (c *clientConn) drainState() (since time.Time, free, asked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActive, len(c.pending) == 0, c.hadRequest
}
