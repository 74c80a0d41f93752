package proxy

import (
	"time"

	"woodproxy/internal/lifecycle"

	"go.uber.org/zap"
)

// Steps of a drain, in units of drainInterval since the call of OutOfService. The component that distributes client
// connections polls the proxy's state at intervals, so it may direct clients to this proxy for a moment after the drain
// has started. Clients continue to use the connections that stay open.
const (
	drainInterval       = 100 * time.Millisecond
	closeAfterReplyStep = 4                               // from here on, a connection is closed after its next reply
	closeIdleStep       = 14                              // from here on, idle connections are closed too
	stopReadingStep     = 24                              // from here on, no further command is read
	recentActivity      = 5 * drainInterval               // activity within this time keeps a connection from being closed
	minAgeToStopReading = stopReadingStep * drainInterval // younger connections are not moved to PhaseStopReading
)

// DrainSchedule is the drain schedule of a proxy that stops, as times since the closing of the listener. Clients retry
// the requests that are still unread at StopReading through another proxy.
type DrainSchedule struct {
	CloseAfterReply time.Duration // from here on, a connection is closed after its next reply
	CloseIdle       time.Duration // from here on, idle connections are closed too
	StopReading     time.Duration // from here on, no further command is read
}

// OutOfService starts a drain: client connections are closed step by step while the proxy keeps running. It returns
// false if a drain is already in progress. It does not wait for the work of other goroutines, so that an operator gets a
// reply no matter how busy the proxy is.
func (l *Listener) OutOfService() bool {
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

// InService ends the drain. It returns false if there was none. Connections that were already moved to a closing phase
// still close.
func (l *Listener) InService() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.outOfService.Swap(false) {
		return false
	}
	l.log.Info("in service", zap.Int("connections", len(l.conns)))
	l.drainTimer.Stop()
	if !l.stopping {
		l.phase = lifecycle.PhaseOpen
	}
	return true
}

// advanceDrain executes the next step of the drain and schedules the one after it.
func (l *Listener) advanceDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.outOfService.Load() {
		return // the drain has ended in the meantime
	}
	if l.drainStep++; l.drainStep == closeAfterReplyStep {
		l.phase = max(l.phase, lifecycle.PhaseCloseAfterReply)
	}
	now := time.Now()
	for c := range l.conns {
		c.requestPhase(l.drainPhase(c, now))
	}
	if l.drainStep == closeIdleStep {
		l.log.Info("out of service: idle connections are closed", zap.Int("connections", len(l.conns)))
	}
	l.drainTimer.Reset(drainInterval)
}

// drainPhase returns the phase that the current step of the drain requires for a connection. A connection that only polls
// the proxy's state by PING stays open while it keeps polling.
func (l *Listener) drainPhase(c *clientConn, now time.Time) lifecycle.ClosePhase {
	s := c.state()
	recentlyActive := now.Sub(s.lastActive) < recentActivity
	switch {
	case l.drainStep >= stopReadingStep && s.hadRequest && now.Sub(c.acceptedAt) >= minAgeToStopReading:
		return lifecycle.PhaseStopReading
	case l.drainStep == closeIdleStep && s.hadRequest, l.drainStep >= closeIdleStep && s.idle && !recentlyActive:
		return lifecycle.PhaseCloseWhenIdle
	case l.drainStep >= closeAfterReplyStep:
		return lifecycle.PhaseCloseAfterReply
	}
	return lifecycle.PhaseOpen
}

// Close stops accepting clients and closes the connections according to the schedule. It returns when all connections
// have ended, or at the time until. If soleOwner is set, no other process has the listener, and the clients in its queue
// are accepted and served first.
func (l *Listener) Close(until time.Time, soleOwner bool, schedule DrainSchedule) {
	began := time.Now()
	l.mu.Lock()
	l.closed, l.soleOwner, l.backlogUntil = true, soleOwner, began.Add(schedule.StopReading)
	l.setAcceptDeadline(pastDeadline) // a connection that is accepted just now is still served
	l.connsChanged.Broadcast()
	l.mu.Unlock()
	for _, step := range [...]struct {
		after time.Duration
		phase lifecycle.ClosePhase
	}{
		{schedule.CloseAfterReply, lifecycle.PhaseCloseAfterReply},
		{schedule.CloseIdle, lifecycle.PhaseCloseWhenIdle},
		{schedule.StopReading, lifecycle.PhaseStopReading},
	} {
		timer := time.AfterFunc(time.Until(began.Add(step.after)), func() { l.requestPhaseAll(step.phase) })
		defer timer.Stop()
	}
	l.awaitConnsEnded(until)
}

// awaitConnsEnded waits until accepting has ended and all connections have ended, or until the given time.
func (l *Listener) awaitConnsEnded(until time.Time) {
	defer time.AfterFunc(time.Until(until), l.connsChanged.Broadcast).Stop()
	select { // otherwise a connection that is being accepted would be missed
	case <-l.acceptDone:
	case <-time.After(time.Until(until)):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.mayExitLocked(until) {
		l.connsChanged.Wait()
	}
}

// mayExitLocked reports whether the process may exit: all connections have ended, or the deadline until has passed. The
// caller holds l.mu.
func (l *Listener) mayExitLocked(until time.Time) bool {
	conditions := lifecycle.ExitConditions{OpenConnections: len(l.conns), DeadlineExceeded: !time.Now().Before(until)}
	return conditions.MayExit().Permitted()
}

// requestPhaseAll permanently moves all connections, including those that are accepted later, to a closing phase.
func (l *Listener) requestPhaseAll(phase lifecycle.ClosePhase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping, l.phase = true, max(l.phase, phase)
	for c := range l.conns {
		c.requestPhase(phase)
	}
}
