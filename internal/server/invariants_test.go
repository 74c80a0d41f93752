package server

import (
	"testing"
	"time"

	"woodproxy/internal/invariant"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestClockWatchSeesSteps checks that each step of the wall clock is reported once, with its size, and that a small
// deviation is not reported.
func TestClockWatchSeesSteps(t *testing.T) {
	start := time.Now()
	watch := newClockWatch(start)
	// at returns the wall clock time after the elapsed time, moved by the offset of a step. It has no monotonic reading.
	at := func(elapsed, offset time.Duration) time.Time {
		return start.Add(elapsed).Add(offset).Round(0)
	}
	for _, test := range []struct{ elapsed, offset, want time.Duration }{
		{time.Second, 0, 0},
		{2 * time.Second, 50 * time.Millisecond, 0},
	} {
		if got := watch.check(start.Add(test.elapsed)); got != test.want {
			t.Errorf("got a step of %v, want none", got)
		}
	}
	// The offset is set directly: for a time without a monotonic reading, the difference includes the wall clock only.
	for _, offset := range []time.Duration{time.Hour, -time.Hour, -5 * time.Second, 0} {
		before := watch.offset
		watch.offset = at(0, 0).Sub(at(0, offset))
		if step := watch.check(start.Add(3 * time.Second)); step != offset {
			t.Errorf("want a step of %v, got %v", offset, step)
		}
		if again := watch.check(start.Add(4 * time.Second)); again != 0 {
			t.Errorf("got another step of %v, want none", again)
		}
		watch.offset = before
	}
}

// TestViolationsAreLoggedUpToARate checks that a violation is logged with its invariant and request, and that of many
// violations all are counted but only a limited number is logged.
func TestViolationsAreLoggedUpToARate(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	checker := newInvariantChecker(zap.New(core))
	const replies = 1000
	for range replies {
		checker.ReplyDecided([]byte("id"), 2)
	}
	if n := checker.Count(invariant.OneFinalReply); n != replies {
		t.Errorf("got %d violations counted, want 1000", n)
	}
	lines := logs.FilterMessage("invariant violated").All()
	if len(lines) < violationBurst || len(lines) > 2*violationBurst {
		t.Errorf("got %d log lines, want 50 to 100", len(lines))
	}
	if fields := lines[0].ContextMap(); fields["id"] != "id" || fields["invariant"] != invariant.OneFinalReply.String() {
		t.Errorf("got log fields %v, want the id and the invariant", fields)
	}
}
