package proxy

import (
	"time"

	"woodproxy/internal/lifecycle"
)

// connState is a snapshot of a client connection, from which the listener chooses what to close.
type connState struct {
	lastActive time.Time // when the last reply was written or the last byte was read
	idle       bool      // no reply is pending
	hadCommand bool      // at least one command has been read
	hadRequest bool      // and at least one of them was a request for an upstream
	midCommand bool      // a command has been read in part
	closable   bool      // can be closed without losing a reply
	closing    bool      // is about to close by itself
}

// state returns a snapshot of the connection. Any goroutine may call it.
func (c *clientConn) state() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.pending) == 0
	// A connection that is to close between commands and has read a part of one can still be cut off.
	cuttable := c.midCommand && c.requestedPhase < lifecycle.PhaseStopReading
	return connState{
		lastActive: c.lastActive,
		idle:       idle,
		hadCommand: c.hadCommand,
		hadRequest: c.hadRequest,
		midCommand: c.midCommand,
		closable:   idle && (c.requestedPhase < lifecycle.PhaseCloseWhenIdle || cuttable),
		closing:    c.requestedPhase >= lifecycle.PhaseCloseWhenIdle && !c.midCommand || c.requestedPhase == lifecycle.PhaseStopReading,
	}
}

// requestPhase moves the connection to a closing phase, unless it is as far already. Any goroutine may call it.
func (c *clientConn) requestPhase(phase lifecycle.ClosePhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if phase <= c.requestedPhase {
		return
	}
	c.requestedPhase = phase
	c.interruptLocked()
}

// interruptLocked makes the connection's goroutine look at its state again, whether it is reading or waits for a
// reply. The caller holds c.mu.
func (c *clientConn) interruptLocked() {
	_ = c.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection, whose reading ends anyway
	select {
	case c.replyReady <- struct{}{}:
	default:
	}
}

// conditionsLocked returns what decides whether the connection may be closed or read from. The caller holds c.mu and is
// the connection's goroutine, and looks for unread input itself where that matters.
func (c *clientConn) conditionsLocked() lifecycle.ClientConnConditions {
	return lifecycle.ClientConnConditions{
		Phase: c.requestedPhase, PendingReplies: len(c.pending), MaxPending: maxPending,
		AnsweredRequest: c.answeredRequest,
		CommandPartial:  c.upload != nil || c.reader.Buffered() > 0,
	}
}
