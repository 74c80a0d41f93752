package proxy

import (
	"time"

	"woodproxy/internal/lifecycle"

	"go.uber.org/zap"
)

// The steps of a drain, counted from the call. Who distributes connections polls the proxy's state every so often and
// goes on for a moment by its last answer; clients go on using the connections that stay open.
const (
	drainInterval       = 100 * time.Millisecond
	closeAfterReplyStep = 4  // from here on a connection is closed after its next reply
	closeIdleStep       = 14 // idle connections are closed too
	stopReadingStep     = 24 // and no further command is read
	recentActivity      = 5 * drainInterval
	minAgeToStopReading = stopReadingStep * drainInterval
)

// DrainSchedule is the drain schedule of a proxy that stops, as times since the closing of the listener. Clients retry
// elsewhere what they have sent and was not read by the last of them.
type DrainSchedule struct {
	CloseAfterReply time.Duration // from here on a connection is closed after its next reply
	CloseIdle       time.Duration // from here on idle connections are closed too
	StopReading     time.Duration // from here on no further command is read
}

// OutOfService begins to drain: clients are sent away, and the proxy goes on running. It returns false if it drains
// already. It waits for no other goroutine's work, so that an operator is answered however busy the proxy is.
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

// InService ends the drain, and returns false if there was none. Connections that were told to close still do.
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

// advanceDrain takes the drain's next step, and schedules the one after it.
func (l *Listener) advanceDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.outOfService.Load() {
		return // the drain has ended meanwhile
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

// drainPhase returns the phase that the current step of the drain asks of a connection. One that only polls the proxy's
// state (by PING) is left open as long as it does.
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

// Close accepts no further client, closes the connections by the schedule, and returns when all have ended or at the
// given time. If soleOwner is set no other process has the listener, and the clients in its queue are served before.
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

// awaitConnsEnded waits until no connection is accepted any more and all have ended, or until the given time.
func (l *Listener) awaitConnsEnded(until time.Time) {
	defer time.AfterFunc(time.Until(until), l.connsChanged.Broadcast).Stop()
	select { // else a connection that is being accepted would be missed
	case <-l.acceptDone:
	case <-time.After(time.Until(until)):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.mayExitLocked(until) {
		l.connsChanged.Wait()
	}
}

// mayExitLocked reports whether the process may exit, which it has to at the given time. The caller holds l.mu.
func (l *Listener) mayExitLocked(until time.Time) bool {
	conditions := lifecycle.ExitConditions{OpenConnections: len(l.conns), DeadlineExceeded: !time.Now().Before(until)}
	return conditions.MayExit().Permitted()
}

// requestPhaseAll moves all connections, and those that are still to be accepted, to a closing phase for good.
func (l *Listener) requestPhaseAll(phase lifecycle.ClosePhase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping, l.phase = true, max(l.phase, phase)
	for c := range l.conns {
		c.requestPhase(phase)
	}
}
