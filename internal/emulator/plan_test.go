package emulator_test

import (
	"reflect"
	"testing"
	"time"
)

func TestPlanIsDeterminedBySeed(t *testing.T) {
	text := withFaults(calmScenario, "kind = \"silent\"; at_s = 0.5; for_s = 1.0; nodes = 2")
	a, b, c := parseScenario(t, text).NewPlan(7), parseScenario(t, text).NewPlan(7), parseScenario(t, text).NewPlan(8)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a.Requests, c.Requests) {
		t.Error("a seed does not settle the plan")
	}
	if n := len(a.Requests); n < 230 || n > 370 || len(a.Faults[0].Targets) != 2 {
		t.Errorf("%d requests, targets %v", n, a.Faults[0].Targets)
	}
	silentFromSecondOn := scenarioWith("rate = 150.0", "rate = 150.0, steps = [{ at_s = 1.0, times = 0.0 }]")
	for _, r := range parseScenario(t, silentFromSecondOn).NewPlan(7).Requests {
		if r.At >= time.Second {
			t.Error("a request is scheduled while the rate is 0")
		}
	}
}
