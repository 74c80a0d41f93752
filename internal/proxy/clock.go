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

// Elapsed returns the monotonic time since the clock's start.
func (c Clock) Elapsed() time.Duration { return time.Since(c.base) }

// instantOf converts nanoseconds since the clock's start, as Elapsed counts them; 0 is the zero time.
func (c Clock) instantOf(elapsed int64) time.Time {
	if elapsed == 0 {
		return time.Time{}
	}
	return c.base.Add(time.Duration(elapsed))
}

// Instant converts the balancer's time to an instant that is compared by the monotonic clock.
func (c Clock) Instant(t balancer.Time) time.Time {
	return c.base.Add(duration(t) - time.Duration(c.base.UnixMicro()/100)*tickDuration)
}

// duration converts a span of the balancer's time.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * tickDuration }

// pastDeadline interrupts whoever reads or writes a connection when it is set as the deadline.
var pastDeadline = time.Unix(1, 0)
