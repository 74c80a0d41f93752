package proxy

import (
	"time"

	"go.uber.org/zap"
)

// readLimit is the time limit for the next bytes from a client.
type readLimit struct {
	at  time.Time // zero: no limit
	err error     // the cause of the close when the limit expires
}

// readLimit returns the limit that currently applies. A client that waits for replies between commands has no limit.
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

// deadlineError returns the cause of the close if a time limit has expired, and nil if the read was interrupted for
// another reason. Bytes that have arrived by then are in time and are read first. This is done once per command, so that
// a client that keeps sending single bytes can't exceed the limit.
func (c *clientConn) deadlineError() error {
	limit := c.expiredLimit()
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

// expiredLimit returns the limit that has expired. Its err is nil if none has.
func (c *clientConn) expiredLimit() readLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := c.readLimit(len(c.pending) > 0); limit.err != nil && !time.Now().Before(limit.at) {
		return limit
	}
	return readLimit{}
}

// awaitReply waits until the next reply may be ready. Nothing is read in the meantime, so it polls for a hang-up:
// requests of a client that has closed its connection must not be sent to an upstream.
func (c *clientConn) awaitReply() error { return c.awaitEvent(c.replyReady) }

// awaitResume waits until the connection may be read again, or until the next reply may be ready. The commands of a client
// that has closed its connection meanwhile are not read.
func (c *clientConn) awaitResume(pause time.Duration) error {
	if c.listener.counters.ReadsPaused.Add(1); !c.pauseLogged {
		c.pauseLogged = true
		c.listener.log.Warn("client sends commands at too high a rate; its connection is read more slowly",
			zap.Stringer("from", c.conn.RemoteAddr()))
	}
	resume := time.NewTimer(pause)
	defer resume.Stop()
	select {
	case <-c.replyReady:
		return nil
	case <-resume.C:
	}
	if hungUpByPeer(c.conn) {
		return errClientGone
	}
	return nil
}

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
