package proxy

import (
	"io"
	"time"

	"woodproxy/internal/lifecycle"
)

const (
	lingerTimeout     = 200 * time.Millisecond // for the client to close its side after the last reply
	lingerMaxBytes    = 256 << 10
	minLingerInterval = 2 * time.Millisecond // between two looks whether it has
	maxLingerInterval = 16 * time.Millisecond
)

// closeSending ends the sending side, and reports whether that succeeded. No goroutine interrupts the connection any
// more.
func (c *clientConn) closeSending() bool {
	c.mu.Lock()
	c.requestedPhase = lifecycle.PhaseStopReading
	c.mu.Unlock()
	half, ok := c.conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// endUnread ends the sending side and waits for a moment for the client to close its own. Nothing is read any more: a
// request that crosses the end is the client's to send again only if nobody has read it. A connection that is closed
// over unread bytes is reset, so that it waits for longer where replies are still on their way to a slow client.
func (c *clientConn) endUnread() {
	if !c.closeSending() {
		return
	}
	began := time.Now()
	for interval := minLingerInterval; !hungUpByPeer(c.conn); interval = min(2*interval, maxLingerInterval) {
		if elapsed := time.Since(began); elapsed >= clientWriteTimeout || elapsed >= lingerTimeout && c.closeLosesNothing() {
			return
		}
		time.Sleep(interval)
	}
}

// closeLosesNothing reports whether no reply is lost if the connection is closed now. Where the system does not tell
// what is still on its way, the unread bytes are taken off instead.
func (c *clientConn) closeLosesNothing() bool {
	if !hasUnread(c.conn) {
		return true
	}
	unsent, known := unsentBytes(c.conn)
	if !known {
		c.discardInput()
	}
	return unsent == 0
}

// endDiscarding ends the sending side behind an error reply, and discards for a moment what still arrives: it is no
// command, and the client reads the reply only once it has sent that.
func (c *clientConn) endDiscarding() {
	if c.closeSending() {
		c.discardInput()
	}
}

// discardInput reads and drops what arrives for a moment.
func (c *clientConn) discardInput() {
	if c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return // without a deadline the client could hold the connection for ever
	}
	_, _ = io.CopyN(io.Discard, c.conn, lingerMaxBytes) // ends by the deadline or the client's close, both as intended
}
