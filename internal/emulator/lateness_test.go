package emulator_test

import (
	"slices"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// Guards against a single late send that excuses all violations of a run: it must excuse only the violations near it, those
// found at the end of a run, and none of a rule that does not depend on timing.
func TestLateSendExcusesOnlyNearbyViolations(t *testing.T) {
	violation := func(rule emulator.Rule, beganMS, atMS int) emulator.Violation {
		return emulator.Violation{Rule: rule, At: time.Duration(atMS) * time.Millisecond, Events: []emulator.Event{event(beganMS, emulator.RequestSent, "a", "", "")}}
	}
	for _, test := range []struct {
		name      string
		violation emulator.Violation
		excused   bool
	}{
		{"ends before the margin", violation(emulator.FinalReplyRule, 100, 600), false},
		{"ends within the margin", violation(emulator.FinalReplyRule, 100, 800), true},
		{"spans the late send", violation(emulator.FinalReplyRule, 100, 3000), true},
		{"begins within the margin", violation(emulator.FinalReplyRule, 1200, 3000), true},
		{"begins after the margin", violation(emulator.FinalReplyRule, 1400, 3000), false},
		{"rule independent of timing", violation(emulator.MemoryRule, 900, 1000), false},
		{"rule checked at the end of the run", violation(emulator.ResidueRule, 9000, 9000), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := &emulator.Report{LateSendTimes: []time.Duration{time.Second}, Violations: []emulator.Violation{test.violation}}
			if excused := len(report.Unexcused()) == 0; excused != test.excused {
				t.Errorf("got excused %v, want %v", excused, test.excused)
			}
		})
	}
}

func TestLateFractionCountsOverlapsOnce(t *testing.T) {
	report := &emulator.Report{
		Plan:          &emulator.Plan{Scenario: &emulator.Scenario{LengthS: 10}},
		LateSendTimes: []time.Duration{time.Second, 1100 * time.Millisecond, 5 * time.Second},
	}
	if got := report.LateFraction(); got < 0.129 || got > 0.131 {
		t.Errorf("got late fraction %.4f, want 0.13", got)
	}
}

// Guards against faults that silently have no effect: hot restarts were drawn in 99 runs and took place in none of them.
// IdleFaults must return a kind of fault that left no event.
func TestFaultsThatDoNothingAreNamed(t *testing.T) {
	for _, test := range []struct {
		kind   string
		effect emulator.Event
	}{
		{"kill", processEnded(5, "killed")},
		{"mass-kill", processEnded(5, "killed")},
		{"restart", processEnded(5, "stopped")},
		{"hot-restart", processEnded(5, "replaced")},
		{"pause", processPaused(5, "begins")},
		{"cold", event(5, emulator.SlowStartBegan, "", "c1", "")},
		{"replace", event(5, emulator.SlowStartBegan, "", "c1", "")},
	} {
		t.Run(test.kind, func(t *testing.T) {
			plan := &emulator.Plan{Faults: []emulator.FaultEvent{{Fault: emulator.Fault{Kind: test.kind}}}}
			idle := (&emulator.Report{Plan: plan, Events: []emulator.Event{processEnded(9, "stopped another way")}}).IdleFaults()
			if !slices.Equal(idle, []string{test.kind}) {
				t.Errorf("got idle faults %v, want only this kind", idle)
			}
			if idle := (&emulator.Report{Plan: plan, Events: []emulator.Event{test.effect}}).IdleFaults(); len(idle) > 0 {
				t.Errorf("got idle faults %v for a fault with an effect, want none", idle)
			}
		})
	}
}
