package lifecycle_test

import (
	"testing"
	"time"

	"woodproxy/internal/lifecycle"
)

// The oldest late watch is kept until a response to it would come too late, and then for twice as long. Meanwhile the next
// ones are given up, so that a response to a recent request is always possible.
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
		{4, 24 * time.Second, 0}, // the patience does not grow any more
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
