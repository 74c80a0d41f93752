package server

import (
	"testing"
	"time"

	"woodproxy/internal/invariant"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Each step of the wall clock is seen once, with its size, and none where it only runs a little fast.
func TestClockWatchSeesSteps(t *testing.T) {
	start := time.Now()
	watch := newClockWatch(start)
	// at returns an instant whose wall clock was moved against its monotonic one, as a stepped clock's is.
	at := func(elapsed, offset time.Duration) time.Time {
		return start.Add(elapsed).Add(offset).Round(0)
	}
	for _, test := range []struct{ elapsed, offset, want time.Duration }{
		{time.Second, 0, 0},
		{2 * time.Second, 50 * time.Millisecond, 0},
	} {
		if got := watch.check(start.Add(test.elapsed)); got != test.want {
			t.Errorf("without a step: %v", got)
		}
	}
	// An instant without a monotonic reading has the difference of wall clocks only, so that the offset is taken directly.
	for _, offset := range []time.Duration{time.Hour, -time.Hour, -5 * time.Second, 0} {
		before := watch.offset
		watch.offset = at(0, 0).Sub(at(0, offset))
		if step := watch.check(start.Add(3 * time.Second)); step != offset {
			t.Errorf("stepped by %v, seen %v", offset, step)
		}
		if again := watch.check(start.Add(4 * time.Second)); again != 0 {
			t.Errorf("seen again: %v", again)
		}
		watch.offset = before
	}
}

// A violation is logged with its invariant and request, and a flood of them is counted but not logged.
func TestViolationsAreLoggedUpToARate(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	checker := newInvariantChecker(zap.New(core))
	const replies = 1000
	for range replies {
		checker.ReplyDecided([]byte("id"), 2)
	}
	if n := checker.Count(invariant.OneFinalReply); n != replies {
		t.Errorf("%d counted", n)
	}
	lines := logs.FilterMessage("invariant violated").All()
	if len(lines) < violationBurst || len(lines) > 2*violationBurst {
		t.Errorf("%d lines", len(lines))
	}
	if fields := lines[0].ContextMap(); fields["id"] != "id" || fields["invariant"] != invariant.OneFinalReply.String() {
		t.Errorf("%v", fields)
	}
}
