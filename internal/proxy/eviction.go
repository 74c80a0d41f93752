package proxy

import (
	"time"

	"woodproxy/internal/lifecycle"
)

const (
	// idleGrace is how long a client may be inactive before it counts as one that asks for nothing.
	idleGrace = 100 * time.Millisecond
	// partialGrace is how long a client may stop amid a command before clients that keep asking are closed instead.
	partialGrace = time.Second
)

// evictionClass sorts client connections by what closing one costs its client.
type evictionClass uint8

const (
	classSilent     evictionClass = iota // has sent nothing yet
	classIdle                            // between commands
	classMidCommand                      // has sent a command in part
	evictionClasses
)

// evictionRules are tried in order: the first whose candidate has been inactive for long enough decides. Clients that
// have sent nothing come first; then who has been idle longest, which costs a client no more than a new connection;
// then who stopped amid a command, since some take their time. So crowds that say nothing, ask once and stay, or stop
// amid a command push out themselves and not the clients that are served.
var evictionRules = [...]struct {
	class       evictionClass
	minInactive time.Duration
	phase       lifecycle.ClosePhase
}{
	{classSilent, partialGrace, lifecycle.PhaseCloseWhenIdle},
	{classIdle, idleGrace, lifecycle.PhaseCloseWhenIdle},
	{classMidCommand, partialGrace, lifecycle.PhaseStopReading},
	{classMidCommand, idleGrace, lifecycle.PhaseStopReading},
	{classIdle, 0, lifecycle.PhaseCloseWhenIdle},
	{classSilent, 0, lifecycle.PhaseCloseWhenIdle},
	{classMidCommand, 0, lifecycle.PhaseStopReading},
}

// eviction is a connection that is to be closed, and how.
type eviction struct {
	conn  *clientConn
	phase lifecycle.ClosePhase
}

// evictionCandidate is the closable connection of a class that has been inactive longest.
type evictionCandidate struct {
	conn       *clientConn // nil: there is none
	lastActive time.Time
}

func (e *evictionCandidate) inactive(now time.Time) time.Duration { return now.Sub(e.lastActive) }

// connCensus counts a listener's connections that are not about to close, and holds a candidate of each class.
type connCensus struct {
	staying, silent, served int
	candidates              [evictionClasses]evictionCandidate
}

func (s connState) evictionClass() evictionClass {
	switch {
	case s.midCommand:
		return classMidCommand
	case !s.hadCommand:
		return classSilent
	}
	return classIdle
}

func (n *connCensus) add(c *clientConn, s connState) {
	class := s.evictionClass()
	if !s.closing {
		n.staying++
		switch {
		case class == classSilent:
			n.silent++
		case s.hadCommand:
			n.served++
		}
	}
	if best := &n.candidates[class]; s.closable && (best.conn == nil || s.lastActive.Before(best.lastActive)) {
		*best = evictionCandidate{c, s.lastActive}
	}
}

// nearLimit is the share of the connection limit from which on connections are closed to admit new ones.
func nearLimit(maxConns int) int { return maxConns * 9 / 10 }

// chooseEviction returns the connection that can best be done without; its conn is nil if enough are about to close
// already. The caller holds l.mu.
func (l *Listener) chooseEviction(now time.Time) eviction {
	var census connCensus
	for c := range l.conns {
		census.add(c, c.state())
	}
	idle := &census.candidates[classIdle]
	if idle.conn != nil && census.served >= l.maxServedConns && idle.inactive(now) >= idleGrace {
		return eviction{idle.conn, lifecycle.PhaseCloseWhenIdle}
	}
	if census.staying < nearLimit(l.maxConns) {
		return eviction{}
	}
	manySilent := census.silent >= l.maxConns/4 // who are closed without any grace then
	for _, rule := range evictionRules {
		candidate := &census.candidates[rule.class]
		if candidate.conn == nil {
			continue
		}
		if candidate.inactive(now) >= rule.minInactive || rule.class == classSilent && manySilent {
			return eviction{candidate.conn, rule.phase}
		}
	}
	return eviction{}
}
