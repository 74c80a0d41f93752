package proxy

import (
	"time"

	"woodproxy/balancer"
)

const (
	tickDuration        = 100 * time.Microsecond // the unit of the balancer's times
	ticksPerMillisecond = 10
)

// Clock returns the balancer's time: the system's at the clock's start and the monotonic time since then.
type Clock struct{ base time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns tenths of a millisecond of Unix time; it never goes back.
func (c Clock) Now() balancer.Time {
	return balancer.Time((c.base.UnixMicro() + time.Since(c.base).Microseconds()) / 100)
}

// duration converts a span of the balancer's time.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * tickDuration }

// pastDeadline interrupts whoever reads or writes a connection when it is set as the deadline.
var pastDeadline = time.Unix(1, 0)
