package proxy

import (
	"net"
	"slices"
	"time"

	"woodproxy/internal/lifecycle"
)

var crlf = []byte("\r\n")

// flush writes the replies that are ready, in order. It returns errClosing if the connection has to close after them.
func (c *clientConn) flush() error {
	for {
		ready := c.readyReplies()
		if len(ready) == 0 {
			break
		}
		if err := c.writeReplies(ready); err != nil {
			return err // release abandons the requests that are still pending
		}
		c.removeWritten(ready)
	}
	if c.mayCloseBetweenCommands() {
		return errClosing
	}
	return nil
}

// mayCloseBetweenCommands adopts the requested phase and reports whether the connection has to close now.
func (c *clientConn) mayCloseBetweenCommands() bool {
	conditions := c.updatePhase()
	if !conditions.MayClose().Permitted() {
		return false
	}
	conditions.InputUnread = hasUnread(c.conn) // another request may have arrived in the meantime and gets its reply first
	return conditions.MayClose().Permitted()
}

// readyReplies returns the requests whose replies can be written next, up to and including the first one with a stream.
func (c *clientConn) readyReplies() []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for streaming := false; n < len(c.pending) && c.pending[n].ready && !streaming; n++ {
		streaming = c.pending[n].stream != nil
	}
	return slices.Clone(c.pending[:n])
}

// writeReplies writes the replies with one vectored write, followed by the stream of the last one, if it has one.
func (c *clientConn) writeReplies(ready []*request) error {
	out := make(net.Buffers, 0, 3*len(ready))
	for _, req := range ready {
		out = append(out, req.header)
		if req.body != nil {
			out = append(out, req.body, crlf)
		}
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
		return err
	}
	if _, err := out.WriteTo(c.conn); err != nil {
		return err
	}
	if last := ready[len(ready)-1]; last.stream != nil {
		return c.writeStream(last.stream)
	}
	return nil
}

// writeStream forwards a streamed value to the client.
func (c *clientConn) writeStream(s *stream) error {
	defer s.abandon()
	hangupPoll := time.NewTicker(hangupPollInterval)
	defer hangupPoll.Stop()
	for {
		select {
		case chunk, more := <-s.filled:
			if !more {
				return s.clientError()
			}
			if err := c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
				return err
			}
			if _, err := c.conn.Write(chunk); err != nil {
				return err
			}
			s.empty <- chunk[:0]
		case <-hangupPoll.C: // a hang-up must be detected, since further requests may be pending behind this reply
			if hungUpByPeer(c.conn) {
				return errClientGone
			}
		}
	}
}

// removeWritten releases requests whose replies have been written.
func (c *clientConn) removeWritten(written []*request) {
	c.mu.Lock()
	c.pending = slices.Delete(c.pending, 0, len(written)) // also clears the references to their values
	if slices.ContainsFunc(written, func(req *request) bool { return req.proxied }) {
		c.answeredRequest = true
	}
	c.mu.Unlock()
	for _, req := range written {
		req.release(c.listener)
	}
}

// updatePhase adopts the requested phase and returns the conditions at that time.
func (c *clientConn) updatePhase() lifecycle.ClientConnConditions {
	c.mu.Lock()
	defer c.mu.Unlock()
	conditions := c.conditionsLocked()
	c.midCommand = c.upload != nil || c.discardBytes > 0 || c.reader.Buffered() > 0
	c.lastActive, c.seenPhase, c.answeredRequest = time.Now(), c.requestedPhase, false
	return conditions
}
