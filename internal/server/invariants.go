package server

import (
	"context"
	"time"

	"woodproxy/internal/invariant"
	"woodproxy/internal/proxy"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// Log lines for violations are limited to this rate and burst. All violations are counted.
	violationsPerSec = 10
	violationBurst   = 50

	clockCheckInterval = time.Second
	minClockStep       = 300 * time.Millisecond // smaller differences may come from clock slewing or delays
)

// newInvariantChecker returns a checker that logs violations.
func newInvariantChecker(log *zap.Logger) *invariant.Checker {
	limiter := rate.NewLimiter(violationsPerSec, violationBurst)
	return invariant.NewChecker(func(v invariant.Violation) {
		if limiter.Allow() {
			log.Error("invariant violated", zap.Stringer("invariant", v.Invariant), zap.String("id", v.RequestID), zap.String("detail", v.Detail))
		}
	})
}

// clockWatch detects steps of the wall clock by comparison with the monotonic clock.
type clockWatch struct {
	start  time.Time
	offset time.Duration // sum of the steps that were detected since start
}

func newClockWatch(now time.Time) *clockWatch { return &clockWatch{start: now} }

// check returns the step of the wall clock since the last check, or 0 if there was none.
func (w *clockWatch) check(now time.Time) time.Duration {
	wall := now.Round(0).Sub(w.start.Round(0)) // without the monotonic reading
	offset := wall - now.Sub(w.start)
	step := offset - w.offset
	if step.Abs() < minClockStep {
		return 0
	}
	w.offset = offset
	return step
}

// watchWallClock logs and counts steps of the wall clock until the context ends.
func watchWallClock(ctx context.Context, counters *proxy.Counters, log *zap.Logger) {
	watch := newClockWatch(time.Now())
	ticker := time.NewTicker(clockCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if step := watch.check(time.Now()); step != 0 {
			counters.WallClockSteps.Add(1)
			log.Warn("wall clock stepped; deadlines and time windows follow the monotonic clock", zap.Duration("by", step))
		}
	}
}
