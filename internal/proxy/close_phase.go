package proxy

import "time"

// closePhase is how far a client connection is on its way to being closed. A connection only moves to later phases.
type closePhase uint8

const (
	phaseOpen            closePhase = iota
	phaseCloseAfterReply            // closed right after its next reply, so that no request can cross the close
	phaseCloseWhenIdle              // closed once no reply is pending
	phaseStopReading                // reads no further command; closed once no reply is pending
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
	cuttable := c.midCommand && c.requestedPhase < phaseStopReading
	return connState{
		lastActive: c.lastActive,
		idle:       idle,
		hadCommand: c.hadCommand,
		hadRequest: c.hadRequest,
		midCommand: c.midCommand,
		closable:   idle && (c.requestedPhase < phaseCloseWhenIdle || cuttable),
		closing:    c.requestedPhase >= phaseCloseWhenIdle && !c.midCommand || c.requestedPhase == phaseStopReading,
	}
}

// requestPhase moves the connection to a closing phase, unless it is as far already. Any goroutine may call it.
func (c *clientConn) requestPhase(phase closePhase) {
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

// closeDueLocked reports whether the requested phase calls for closing the connection now. The caller holds c.mu and
// is the connection's goroutine.
func (c *clientConn) closeDueLocked() bool {
	if len(c.pending) > 0 || c.upload != nil || c.reader.Buffered() > 0 {
		return false
	}
	// Only the reply to a proxied request counts as the next one: PING is how clients ask for the state of the proxy.
	return c.requestedPhase >= phaseCloseWhenIdle || c.requestedPhase == phaseCloseAfterReply && c.answeredRequest
}
