package proxy

import (
	"time"

	"woodproxy/internal/lifecycle"
)

const (
	// idleGrace is the time for which a client may be inactive before it counts as idle.
	idleGrace = 100 * time.Millisecond
	// partialGrace is the time for which a client may send nothing after connecting, or pause in the middle of a command,
	// before the first eviction rule of its class applies.
	partialGrace = time.Second
)

// evictionClass classifies client connections by the cost of closing one to its client.
type evictionClass uint8

const (
	classSilent     evictionClass = iota // has sent nothing yet
	classIdle                            // between commands
	classMidCommand                      // has sent a command partially
	numEvictionClasses
)

// evictionRules are applied in order: the first one whose candidate has been inactive for at least minInactive decides.
// Clients that have sent nothing come first. Next is the client that has been idle longest, because closing its
// connection costs it no more than a new connection. Clients that paused in the middle of a command come third, because
// some clients are slow. This way, many clients that send nothing, send one request and stay connected, or stop in the
// middle of a command displace each other and not the clients that are being served.
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

// eviction is a connection to be closed and the phase to request for it.
type eviction struct {
	conn  *clientConn // nil: there is none
	phase lifecycle.ClosePhase
}

// evictionCandidate is the closable connection that has been inactive longest in its class.
type evictionCandidate struct {
	conn       *clientConn // nil: there is none
	lastActive time.Time
}

// inactive returns the time for which the candidate has been inactive.
func (e *evictionCandidate) inactive(now time.Time) time.Duration { return now.Sub(e.lastActive) }

// connCensus counts the connections of a listener that are not about to close, and holds the candidate of each class.
type connCensus struct {
	staying, silent, served int
	candidates              [numEvictionClasses]evictionCandidate
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

// nearLimit returns the number of connections from which on connections are closed to admit new ones.
func nearLimit(maxConns int) int { return maxConns * 9 / 10 }

// chooseEviction returns the connection whose close costs its client least. Its conn is nil if enough connections are
// already about to close, or none can be closed. The caller holds l.mu.
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
	manySilent := census.silent >= l.maxConns/4 // which are then closed without a grace period
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
