package proxy

import (
	"time"

	"go.uber.org/zap"
)

// The steps of a drain, from the call on. Who deals out connections asks every so often how things stand, and goes on
// for a moment with what it was told last; clients go on using what stays open.
const (
	drainInterval       = 100 * time.Millisecond
	closeAfterReplyStep = 4  // from here on a connection is closed behind its next answer
	closeIdleStep       = 14 // and those on which nothing is owed are closed as they are
	stopReadingStep     = 24 // and no further command is taken
	recentActivity      = 5 * drainInterval
)

// Opened tells whether clients are told that they are served.
func (l *Door) Opened() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

// OutOfService sends clients away, and tells whether they were not sent away already. Nothing here waits for an actor,
// since who calls is owed an answer however busy they are.
func (l *Door) OutOfService() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outOfService.Swap(true) {
		return false
	}
	l.counters.Drains.Add(1)
	l.log.Info("out of service", zap.Int("connections", len(l.conns)))
	l.drainStep = 0
	l.drainTimer = time.AfterFunc(drainInterval, l.advanceDrain)
	return true
}

// InService ends the drain, and tells whether there was one. Connections that were told to end do so.
func (l *Door) InService() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.outOfService.Swap(false) {
		return false
	}
	l.log.Info("in service", zap.Int("connections", len(l.conns)))
	l.drainTimer.Stop()
	if !l.stopping {
		l.phase = phaseOpen
	}
	return true
}

// drainOn takes the drain one step on, for as long as it lasts.
func (l *Door) advanceDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.outOfService.Load() {
		return // it has ended meanwhile
	}
	if l.drainStep++; l.drainStep == closeAfterReplyStep {
		l.phase = max(l.phase, phaseCloseAfterReply)
	}
	now := time.Now()
	for c := range l.conns {
		// a connection that only asks how things stand is none to send away, as long as it asks
		switch since, free, asked := c.drainState(); {
		case l.drainStep >= stopReadingStep && asked && now.Sub(c.acceptedAt) >= stopReadingStep*drainInterval:
			c.requestPhase(phaseStopReading)
		case l.drainStep == closeIdleStep && asked, l.drainStep >= closeIdleStep && free && now.Sub(since) >= recentActivity:
			c.requestPhase(phaseCloseWhenIdle)
		case l.drainStep >= closeAfterReplyStep:
			c.requestPhase(phaseCloseAfterReply)
		}
	}
	if l.drainStep == closeIdleStep {
		l.log.Info("out of service: idle connections are closed", zap.Int("connections", len(l.conns)))
	}
	l.drainTimer.Reset(drainInterval)
}

// partAll has all connections end, those that come yet included, since the proxy stops.
func (l *Door) requestPhaseAll(phase closePhase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping, l.phase = true, max(l.phase, phase)
	for c := range l.conns {
		c.requestPhase(phase)
	}
}
