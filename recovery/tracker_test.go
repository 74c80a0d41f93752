package recovery

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// tickInterval is the interval between calls of Tick in these tests.
const tickInterval = Second / 10

// seconds returns the instant n seconds after zero.
func seconds(n Duration) Time { return Time(0).Add(n * Second) }

// Each stage ends on its event or at its time limit, with and without peers.
func TestStagesFollowEventsAndTimeLimits(t *testing.T) {
	for _, test := range []struct {
		name     string
		hasPeers bool
		events   func(tracker *Tracker, now Time) // reports the events before each tick
		want     string                           // stages, each followed by the second in which it began
	}{
		{"endpoint list after a second", false, func(tracker *Tracker, now Time) {
			if now == seconds(1) {
				tracker.EndpointListReceived(now)
			}
			tracker.RequestFinished(true)
		}, "alone 0 warming 1 full 2"},
		{"peers that synchronize", true, func(tracker *Tracker, now Time) {
			tracker.UpdatePeers(now, 3, now < seconds(2))
			tracker.RequestFinished(true)
		}, "alone 0 catching up 0 warming 2 full 3"},
		{"silent peers and discovery", true, func(*Tracker, Time) {}, "alone 0 catching up 2 warming 7 full 17"},
		{"silent discovery, no peers", false, func(*Tracker, Time) {}, "alone 0 warming 2 full 12"},
		{"peers that never synchronize", true, func(tracker *Tracker, now Time) {
			tracker.UpdatePeers(now, 2, true)
		}, "alone 0 catching up 0 warming 5 full 15"},
		{"late responses", false, func(tracker *Tracker, now Time) {
			tracker.EndpointListReceived(now)
			tracker.RequestFinished(now%Time(Second/2) == 0)
		}, "alone 0 warming 0 full 10"},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := New(0, DefaultSettings(test.hasPeers), "", 0)
			got, last := "alone 0", StageStandalone
			for now := Time(0); now < seconds(30); now = now.Add(tickInterval) {
				test.events(tracker, now)
				if tracker.Tick(now); tracker.Stage() != last {
					last = tracker.Stage()
					got += fmt.Sprintf(" %v %d", last, now/seconds(1))
				}
			}
			if got != test.want {
				t.Errorf("got stages %q, want %q", got, test.want)
			}
		})
	}
}

// After any sequence of events, full service is reached within the sum of the time limits, and a pause starts recovery
// again.
func TestFullServiceIsReachedAfterAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings(rapid.Bool().Draw(t, "has peers"))
		tracker, now := New(0, settings, "", 0), Time(0)
		for range rapid.IntRange(0, 60).Draw(t, "calls") {
			now = now.Add(Duration(rapid.Int64Range(0, int64(Second)).Draw(t, "gap")))
			reportRandomEvent(t, tracker, now)
		}
		limit := now.Add(settings.StandaloneLimit + settings.CatchUpLimit + settings.WarmUpLimit + Second)
		for ; now < limit; now = now.Add(tickInterval) {
			tracker.Tick(now)
		}
		if tracker.Stage() != StageFull || tracker.Status(now).FullServiceAfterMS == 0 {
			t.Fatalf("after all time limits: %+v, want full service", tracker.Status(now))
		}
		if tracker.Tick(now.Add(10 * Second)); tracker.Stage() == StageFull || tracker.Status(now).Pauses == 0 {
			t.Fatalf("after a pause of ten seconds: %+v, want an earlier stage", tracker.Status(now))
		}
	})
}

// reportRandomEvent reports a random event to the tracker.
func reportRandomEvent(t *rapid.T, tracker *Tracker, now Time) {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		tracker.EndpointListReceived(now)
	case 1:
		tracker.UpdatePeers(now, rapid.IntRange(0, 3).Draw(t, "alive"), rapid.Bool().Draw(t, "catching up"))
	case 2:
		tracker.RequestFinished(rapid.Bool().Draw(t, "in time"))
	default:
		tracker.Tick(now)
	}
}

// The slice returned by one call belongs to the caller. It must not be overwritten by the next call.
func TestStageChangesStayAfterNextCall(t *testing.T) {
	settings := DefaultSettings(true)
	tracker := New(0, settings, "", 0)
	now := Time(0).Add(settings.StandaloneLimit)
	first := tracker.Tick(now)
	if len(first) != 1 {
		t.Fatalf("got %+v, want one change", first)
	}
	text := first[0].Text
	second := tracker.UpdatePeers(now, 1, false)
	if len(second) != 1 || second[0].Text == text || first[0].Text != text {
		t.Errorf("first call returned %+v, second %+v; want the first unchanged (%q) and one other change", first, second, text)
	}
}
