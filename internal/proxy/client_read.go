package proxy

import (
	"bufio"
	"errors"
	"runtime"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// Commands that are proxied to an upstream. The proxy itself replies to all others.
const (
	commandGet = "KV.GET"
	commandSet = "KV.SET"
)

// uploadReadBytes is the maximum number of bytes of a value that are read at once, so that others are served in between.
const uploadReadBytes = 64 << 10

// fillBuffer waits until more bytes have been read, or until it is interrupted.
func (c *clientConn) fillBuffer() error {
	if err := c.extendReadDeadline(); err != nil {
		return err
	}
	if c.upload != nil || c.discardBytes > 0 {
		runtime.Gosched() // the rest of a long value is often there already, so that the read would not wait
	}
	if now := time.Now(); c.input.hasGap(now) {
		c.input.gapEnded(now, c.reader.Buffered(), unreadBytes(c.conn))
	}
	defer func() { c.input.readEnded(time.Now()) }()
	if c.upload != nil {
		return c.readUpload()
	}
	_, err := c.reader.Peek(c.reader.Buffered() + 1)
	if errors.Is(err, bufio.ErrBufferFull) {
		return wire.ErrProtocol
	}
	return err
}

// extendReadDeadline sets the deadline of the next read. If the connection was interrupted, it does nothing, because the
// deadline in the past has to remain in effect.
func (c *clientConn) extendReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := c.requestedPhase != c.seenPhase || len(c.pending) > 0 && c.pending[0].ready
	if interrupted {
		return nil
	}
	limit := c.readLimit(len(c.pending) > 0).at
	if !c.finalReadUntil.IsZero() && limit.Before(c.finalReadUntil) {
		limit = c.finalReadUntil
	}
	return c.conn.SetReadDeadline(limit)
}

// readUpload reads more of a value directly into its request.
func (c *clientConn) readUpload() error {
	value := c.upload.value
	n, err := c.reader.Read(value[c.uploadRead:min(c.uploadRead+uploadReadBytes, cap(value))])
	c.uploadRead += n
	c.input.consume(n)
	if now := time.Now(); n > 0 && cap(value) > wire.MaxBufferedValue+len(crlf) && now.Before(c.uploadDeadline) {
		c.partialSince = now // a long value may take longer while it makes progress
	}
	return err
}

// readCommands processes the completely read commands until the maximum number of commands is pending, or until the
// connection must not be read for a while.
func (c *clientConn) readCommands() error {
	for !c.pendingFull() && c.pacer.pause(time.Now()) == 0 {
		err := c.readNext()
		if errors.Is(err, wire.ErrIncomplete) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readNext processes the next command or the rest of its value. It returns wire.ErrIncomplete if more bytes are needed.
func (c *clientConn) readNext() error {
	if err := c.discardValue(); err != nil {
		return err
	}
	if c.upload != nil {
		return c.finishUpload()
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	cmd, n, err := wire.ParseCommand(buffered)
	if err != nil {
		if errors.Is(err, wire.ErrIncomplete) && len(buffered) > 0 {
			c.markPartial()
		}
		return err
	}
	c.pacer.commandRead(time.Now())
	req := c.beginCommand(&cmd)
	if _, err := c.reader.Discard(n); err != nil {
		return err
	}
	c.input.consume(n)
	c.receivedCommand = true
	if cmd.ValueLength < 0 {
		c.markComplete()
		if req != nil {
			c.submit(req)
		}
		return nil
	}
	c.beginValue(req, cmd.ValueLength)
	return nil
}

// markPartial records that a command has been read partially.
func (c *clientConn) markPartial() {
	if c.partialSince.IsZero() {
		c.partialSince, c.finalReadUntil = time.Now(), time.Time{}
	}
}

// markComplete records that a command has been read completely.
func (c *clientConn) markComplete() { c.partialSince, c.finalReadUntil = time.Time{}, time.Time{} }

// discardValue discards the buffered part of a value that was not admitted. It returns wire.ErrIncomplete if more bytes
// of the value have yet to arrive.
func (c *clientConn) discardValue() error {
	if c.discardBytes == 0 {
		return nil
	}
	n, err := c.reader.Discard(min(c.discardBytes, c.reader.Buffered()))
	if err != nil {
		return err
	}
	c.input.consume(n)
	if c.discardBytes -= n; c.discardBytes > 0 {
		c.markPartial()
		return wire.ErrIncomplete
	}
	c.markComplete()
	return nil
}

// beginValue prepares to read the value that follows a command; length is in bytes. The value is discarded if req is nil
// or there is no memory for the value.
func (c *clientConn) beginValue(req *request, length int) {
	withLineEnd := length + len(crlf)
	if req == nil {
		c.discardBytes = withLineEnd
		return
	}
	var admitted bool
	if req.valueMemory, admitted = c.listener.router.reserveValue(length); !admitted {
		c.discardBytes = withLineEnd
		req.release(c.listener)
		c.shedRequest()
		return
	}
	req.value, c.upload, c.uploadRead = make([]byte, 0, withLineEnd), req, 0
	transfer := time.Duration(length) * time.Second / minUploadBytesPerSecond
	c.uploadDeadline = time.Now().Add(c.listener.timeouts.command + transfer)
}

// finishUpload submits the write whose value is being read. It returns wire.ErrIncomplete if a part of the value has yet
// to arrive.
func (c *clientConn) finishUpload() error {
	req := c.upload
	if c.uploadRead < cap(req.value) {
		c.markPartial()
		return wire.ErrIncomplete
	}
	n := c.uploadRead - len(crlf)
	if string(req.value[n:c.uploadRead]) != string(crlf) {
		return wire.ErrProtocol
	}
	req.value, c.upload = req.value[:n:n], nil
	c.markComplete()
	c.submit(req)
	return nil
}

// beginCommand returns the request of a command that is proxied and admitted. For any other command it queues a reply
// and returns nil.
func (c *clientConn) beginCommand(cmd *wire.Command) *request {
	if !cmd.Is(commandGet) && !cmd.Is(commandSet) {
		c.replyControl(cmd)
		return nil
	}
	if !c.listener.admitRequest() {
		c.shedRequest()
		return nil
	}
	return newRequest(c, cmd)
}

// replyControl replies to a command that is not proxied. The reply to PING waits until the proxy serves clients.
func (c *clientConn) replyControl(cmd *wire.Command) {
	req := &request{conn: c}
	c.enqueue(req)
	if cmd.Is("PING") && c.awaitEvent(c.listener.ready) != nil {
		return // the client has closed its connection, as the next read reports
	}
	reply, known := c.listener.controlReply(cmd)
	if !known {
		c.pacer.commandRejected(time.Now())
	}
	req.setReply(reply)
}

// shedRequest rejects a request for which there is no capacity.
func (c *clientConn) shedRequest() {
	c.listener.counters.Crowded.Add(1)
	req := &request{conn: c, proxied: true}
	c.enqueue(req)
	req.reply(c.listener.counters, replyShed, nil, c.listener.retryAfterMS)
}

// queuedTime returns the time since the last byte of the current command arrived. The connection's first request may have
// waited together with the connection in the listener's queue, later ones while the connection was not read.
func (c *clientConn) queuedTime() time.Duration {
	if c.submitted {
		return time.Since(c.input.arrival())
	}
	c.submitted = true
	return sinceLastInput(c.conn)
}

// submit passes a completely read request to the router, unless the proxy itself can reply to it.
func (c *clientConn) submit(req *request) {
	router := c.listener.router
	c.enqueue(req)
	if err := req.parseFacts(); err != nil {
		c.listener.log.Warn("invalid request facts", zap.Error(err), zap.ByteString("facts", req.facts))
		c.pacer.commandRejected(time.Now())
		req.setReply(clientReply{header: []byte("-ERR bad facts\r\n")})
		return
	}
	if _, known := router.settings.Routes[req.route]; !known {
		c.pacer.commandRejected(time.Now())
		req.reply(router.counters, replyError, nil, 0)
		return
	}
	req.receivedAt = router.clock.Now() - balancer.Time(c.queuedTime()/tickDuration)
	if router.negativeCache.lookUp(req) {
		req.reply(router.counters, replyNotFound, nil, 0)
		return
	}
	req.valueMemory.retain() // by the router, until it releases the request's slot
	router.mailbox.post(func() { router.handleRequest(req) })
}
