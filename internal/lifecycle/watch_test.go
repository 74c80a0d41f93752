package lifecycle_test

import (
	"testing"
	"time"

	"woodproxy/internal/lifecycle"
)

// The oldest late watch stays open until its deadline, because discovery may be slow. Others are closed when too many are
// open, and all that had time for an answer when discovery rejects a newer one.
func TestLateWatchesStayOpen(t *testing.T) {
	for _, test := range []struct {
		conditions lifecycle.LateWatchConditions
		want       bool
	}{
		{lifecycle.LateWatchConditions{Count: 1, Age: time.Minute}, true},
		{lifecycle.LateWatchConditions{Count: 4, Age: time.Minute}, true},
		{lifecycle.LateWatchConditions{Count: 1, Overdue: true}, false},
		{lifecycle.LateWatchConditions{Count: 1, Age: 2700 * time.Millisecond, NewerRejected: true}, true},
		{lifecycle.LateWatchConditions{Count: 1, Age: 2800 * time.Millisecond, NewerRejected: true}, false},
		{lifecycle.LateWatchConditions{Position: 1, Count: 3, Overdue: true}, true},
		{lifecycle.LateWatchConditions{Position: 1, Count: 4}, false},
		{lifecycle.LateWatchConditions{Position: 2, Count: 4}, true},
		{lifecycle.LateWatchConditions{Position: 2, Count: 3, Age: time.Minute, NewerRejected: true}, false},
	} {
		if got := test.conditions.MayStayOpen(); got != test.want {
			t.Errorf("%+v: got %v, want %v", test.conditions, got, test.want)
		}
	}
}
