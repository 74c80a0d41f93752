package proxy

import (
	"io"
	"time"

	"woodproxy/internal/lifecycle"
)

const (
	lingerTimeout     = 200 * time.Millisecond // limit for the client to close its side after the last reply
	lingerMaxBytes    = 256 << 10              // maximum number of bytes that discardInput reads
	minLingerInterval = 2 * time.Millisecond   // first interval between checks for the client's close
	maxLingerInterval = 16 * time.Millisecond  // longest interval between checks for the client's close
)

// closeSending ends the sending side and reports whether that succeeded. Afterwards no goroutine interrupts the
// connection.
func (c *clientConn) closeSending() bool {
	c.mu.Lock()
	c.requestedPhase = lifecycle.PhaseStopReading
	c.mu.Unlock()
	half, ok := c.conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// endUnread ends the sending side and waits up to lingerTimeout for the client to close its side. It reads nothing: a
// client may resend a request that crosses the close only if the proxy has not read it. Closing a connection with unread
// bytes resets it, so endUnread waits up to clientWriteTimeout while replies are still in transit to a slow client.
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

// closeLosesNothing reports whether the connection can be closed now without losing a reply. If the system does not
// report how many bytes are unsent, the unread bytes are discarded instead, so that the close causes no reset.
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

// endDiscarding ends the sending side after an error reply and discards the bytes that still arrive within
// lingerTimeout. They are not commands, and the client reads the reply only after it has sent them.
func (c *clientConn) endDiscarding() {
	if c.closeSending() {
		c.discardInput()
	}
}

// discardInput reads and discards up to lingerMaxBytes that arrive within lingerTimeout.
func (c *clientConn) discardInput() {
	if c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return // without a deadline the client could keep the connection open forever
	}
	_, _ = io.CopyN(io.Discard, c.conn, lingerMaxBytes) // ends at the deadline or the client's close; both are expected
}
