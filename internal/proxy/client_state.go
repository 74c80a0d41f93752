package proxy

import (
	"time"

	"woodproxy/internal/lifecycle"
)

// connState is a snapshot of a client connection. The listener uses it to choose connections to close.
type connState struct {
	lastActive time.Time // time of the last written reply or the last read
	idle       bool      // no reply is pending
	hadCommand bool      // at least one command has been read
	hadRequest bool      // at least one proxied request has been read
	midCommand bool      // a command has been read partially
	closable   bool      // can be closed without losing a reply
	closing    bool      // closes without a further phase request
}

// state returns a snapshot of the connection. Any goroutine may call it.
func (c *clientConn) state() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.pending) == 0
	// A connection that is to close between commands, but has read a command partially, can still be closed mid-command.
	closableMidCommand := c.midCommand && c.requestedPhase < lifecycle.PhaseStopReading
	return connState{
		lastActive: c.lastActive,
		idle:       idle,
		hadCommand: c.hadCommand,
		hadRequest: c.hadRequest,
		midCommand: c.midCommand,
		closable:   idle && (c.requestedPhase < lifecycle.PhaseCloseWhenIdle || closableMidCommand),
		closing:    c.requestedPhase >= lifecycle.PhaseCloseWhenIdle && !c.midCommand || c.requestedPhase == lifecycle.PhaseStopReading,
	}
}

// requestPhase moves the connection to a closing phase, unless it is already in that phase or a later one. Any goroutine
// may call it.
func (c *clientConn) requestPhase(phase lifecycle.ClosePhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if phase <= c.requestedPhase {
		return
	}
	c.requestedPhase = phase
	c.interruptLocked()
}

// interruptLocked makes the connection's goroutine check its state again, whether it is blocked in a read or waits for a
// reply. The caller holds c.mu.
func (c *clientConn) interruptLocked() {
	_ = c.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection, on which reads fail anyway
	select {
	case c.replyReady <- struct{}{}:
	default:
	}
}

// conditionsLocked returns the conditions for closing the connection or reading from it. The caller is the connection's
// goroutine and holds c.mu. Where unread input matters, the caller sets InputUnread itself.
func (c *clientConn) conditionsLocked() lifecycle.ClientConnConditions {
	return lifecycle.ClientConnConditions{
		Phase: c.requestedPhase, PendingReplies: len(c.pending), MaxPending: maxPending,
		AnsweredRequest: c.answeredRequest,
		CommandPartial:  c.upload != nil || c.reader.Buffered() > 0,
	}
}
