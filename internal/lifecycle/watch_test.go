package lifecycle_test

import (
	"testing"
	"time"

	"woodproxy/internal/lifecycle"
)

// The oldest late watch stays open until a response to it would come too late, and the next oldest one for twice as long.
// Meanwhile others are closed, so that a recent request is always open.
func TestOldestLateWatchIsKeptForLonger(t *testing.T) {
	var watches lifecycle.LateWatches
	for _, step := range []struct {
		count     int
		oldestAge time.Duration
		want      int
	}{
		{1, time.Minute, -1},
		{3, time.Minute, -1},
		{4, 5 * time.Second, 1},
		{4, 6 * time.Second, 0},
		{4, 6 * time.Second, 1},
		{4, 12 * time.Second, 0},
		{4, 23 * time.Second, 1},
		{4, 24 * time.Second, 0},
		{4, 24 * time.Second, 0}, // the timeout does not grow any more
	} {
		if got := watches.Excess(step.count, step.oldestAge); got != step.want {
			t.Errorf("%d watches, the oldest %v old: got excess %d, want %d", step.count, step.oldestAge, got, step.want)
		}
	}
	watches.Reset()
	if got := watches.Excess(4, 6*time.Second); got != 0 {
		t.Errorf("after the reset: got excess %d, want 0", got)
	}
}
