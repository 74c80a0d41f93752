package proxy

import (
	"testing"

	"woodproxy/balancer"
)

func TestExecutedIDs(t *testing.T) {
	var ids executedIDs
	if ids.contains(1, 0) {
		t.Error("an id that was not added is contained")
	}
	ids.add(1, 0)
	ids.add(2, executedIDTime/2)
	ids.add(1, executedIDTime/2)
	for _, c := range []struct {
		hash uint64
		at   balancer.Time
		want bool
	}{{1, executedIDTime, true}, {2, executedIDTime, true}, {2, executedIDTime * 3 / 2, false}, {3, executedIDTime, false}} {
		if got := ids.contains(c.hash, c.at); got != c.want {
			t.Errorf("id %d at %d: contained %v, want %v", c.hash, c.at, got, c.want)
		}
	}
	ids.add(3, executedIDTime)
	if !ids.contains(1, executedIDTime) {
		t.Error("the second addition of an id was dropped with the first")
	}
	for i := range uint64(10 * maxExecutedIDs) {
		ids.add(100+i, executedIDTime)
	}
	if len(ids.latest) != maxExecutedIDs || cap(ids.order) > 4*maxExecutedIDs {
		t.Errorf("got %d ids with space for %d, want %d", len(ids.latest), cap(ids.order), maxExecutedIDs)
	}
	if newest := uint64(100 + 10*maxExecutedIDs - 1); !ids.contains(newest, executedIDTime) {
		t.Error("the newest id was dropped")
	}
	ids.add(7, 3*executedIDTime)
	if len(ids.latest) != 1 {
		t.Errorf("got %d ids after all but one are too old, want 1", len(ids.latest))
	}
}
