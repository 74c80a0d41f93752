package emulator_test

import (
	"reflect"
	"testing"
	"time"
)

// Guards against plans that do not depend on the seed alone, which would make runs irreproducible, and against requests at
// times when the rate is 0.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	text := withFaults(calmScenario, "kind = \"silent\"; at_s = 0.5; for_s = 1.0; nodes = 2")
	a, b, c := parseScenario(t, text).NewPlan(7), parseScenario(t, text).NewPlan(7), parseScenario(t, text).NewPlan(8)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a.Requests, c.Requests) {
		t.Error("plans of one seed differ, or two seeds draw the same requests")
	}
	if n := len(a.Requests); n < 230 || n > 370 || len(a.Faults[0].Targets) != 2 {
		t.Errorf("got %d requests and targets %v, want 230 to 370 requests and 2 targets", n, a.Faults[0].Targets)
	}
	noLoadAfterOneSecond := scenarioWith("rate = 150.0", "rate = 150.0, steps = [{ at_s = 1.0, times = 0.0 }]")
	for _, r := range parseScenario(t, noLoadAfterOneSecond).NewPlan(7).Requests {
		if r.At >= time.Second {
			t.Error("a request is scheduled while the rate is 0")
		}
	}
}
