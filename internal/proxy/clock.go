package proxy

import (
	"time"

	"woodproxy/balancer"
)

const (
	tickDuration        = 100 * time.Microsecond // unit of balancer.Time
	ticksPerMillisecond = 10
)

// Clock returns the balancer's time: the wall-clock time at the clock's start plus the monotonic time since then.
type Clock struct{ base time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the Unix time in tenths of a millisecond. It never goes backwards.
func (c Clock) Now() balancer.Time {
	return balancer.Time((c.base.UnixMicro() + time.Since(c.base).Microseconds()) / 100)
}

// Elapsed returns the monotonic time since the clock's start.
func (c Clock) Elapsed() time.Duration { return time.Since(c.base) }

// instantOf converts nanoseconds since the clock's start, as returned by Elapsed, to an instant. It converts 0 to the
// zero time.
func (c Clock) instantOf(elapsed int64) time.Time {
	if elapsed == 0 {
		return time.Time{}
	}
	return c.base.Add(time.Duration(elapsed))
}

// Instant converts a balancer time to an instant with a monotonic clock reading.
func (c Clock) Instant(t balancer.Time) time.Time {
	return c.base.Add(duration(t) - time.Duration(c.base.UnixMicro()/100)*tickDuration)
}

// duration converts a duration in the balancer's unit.
func duration(t balancer.Time) time.Duration { return time.Duration(t) * tickDuration }

// pastDeadline is a deadline that interrupts a blocked read or write when it is set on a connection.
var pastDeadline = time.Unix(1, 0)
