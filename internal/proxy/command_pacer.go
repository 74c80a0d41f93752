package proxy

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits on the commands of one client connection. Beyond them the connection is not read for a while, so that its commands
// wait at the client and the proxy's processor serves other clients.
const (
	maxCommandRate   rate.Limit = 1000 // commands per second
	commandBurst                = 256  // commands
	maxRejectionRate rate.Limit = 100  // commands per second that are rejected because they are invalid
	rejectionBurst              = 32   // commands
	minReadPause                = 5 * time.Millisecond
)

// commandPacer limits the rate at which the commands of one client connection are read.
type commandPacer struct {
	commands   *rate.Limiter
	rejections *rate.Limiter
	resumeAt   time.Time // the connection is not read before; zero: it was never paused
}

func newCommandPacer() commandPacer {
	return commandPacer{
		commands:   rate.NewLimiter(maxCommandRate, commandBurst),
		rejections: rate.NewLimiter(maxRejectionRate, rejectionBurst),
	}
}

// commandRead counts a command that was read.
func (p *commandPacer) commandRead(now time.Time) { p.reserve(p.commands, now) }

// commandRejected counts a command that was rejected because it is invalid.
func (p *commandPacer) commandRejected(now time.Time) { p.reserve(p.rejections, now) }

// reserve counts a command against a limit, and pauses the connection if the limit is exceeded.
func (p *commandPacer) reserve(limit *rate.Limiter, now time.Time) {
	delay := limit.ReserveN(now, 1).DelayFrom(now)
	if delay == 0 {
		return
	}
	if resumeAt := now.Add(max(delay, minReadPause)); resumeAt.After(p.resumeAt) {
		p.resumeAt = resumeAt
	}
}

// pause returns the time for which the connection must not be read, or 0.
func (p *commandPacer) pause(now time.Time) time.Duration { return max(p.resumeAt.Sub(now), 0) }
