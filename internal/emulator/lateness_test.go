package emulator_test

import (
	"slices"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// One late moment of the machine took the verdict from a whole play: it excuses what lies near it, and nothing else.
func TestLateSendExcusesOnlyNearbyViolations(t *testing.T) {
	violation := func(rule emulator.Rule, beganMS, atMS int) emulator.Violation {
		return emulator.Violation{Rule: rule, At: time.Duration(atMS) * time.Millisecond, Events: []emulator.Event{event(beganMS, emulator.RequestSent, "a", "", "")}}
	}
	for _, test := range []struct {
		name      string
		violation emulator.Violation
		excused   bool
	}{
		{"far before", violation(emulator.FinalAnswerRule, 100, 600), false},
		{"ends near", violation(emulator.FinalAnswerRule, 100, 800), true},
		{"spans", violation(emulator.FinalAnswerRule, 100, 3000), true},
		{"begins near", violation(emulator.FinalAnswerRule, 1200, 3000), true},
		{"far behind", violation(emulator.FinalAnswerRule, 1400, 3000), false},
		{"no matter of time", violation(emulator.MemoryRule, 900, 1000), false},
		{"seen at the end only", violation(emulator.ResidueRule, 9000, 9000), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := &emulator.Report{LateSendTimes: []time.Duration{time.Second}, Violations: []emulator.Violation{test.violation}}
			if excused := len(report.Unexcused()) == 0; excused != test.excused {
				t.Errorf("excused: %v, want %v", excused, test.excused)
			}
		})
	}
}

func TestLatePartCountsOverlapsOnce(t *testing.T) {
	report := &emulator.Report{
		Plan:        &emulator.Plan{Scenario: &emulator.Scenario{LengthS: 10}},
		LateSendTimes: []time.Duration{time.Second, 1100 * time.Millisecond, 5 * time.Second},
	}
	if part := report.LatePart(); part < 0.129 || part > 0.131 {
		t.Errorf("%.4f, want 0.13", part)
	}
}

// Hot restarts were drawn in 99 plays and happened in none: a fault that left no trace is named.
func TestFaultsThatDoNothingAreNamed(t *testing.T) {
	for _, test := range []struct {
		kind string
		does emulator.Event
	}{
		{"kill", processEnded(5, "killed")},
		{"mass-kill", processEnded(5, "killed")},
		{"restart", processEnded(5, "stopped")},
		{"hot-restart", processEnded(5, "replaced")},
		{"pause", processPaused(5, "stands")},
		{"cold", event(5, emulator.SlowStartBegan, "", "c1", "")},
		{"replace", event(5, emulator.SlowStartBegan, "", "c1", "")},
	} {
		t.Run(test.kind, func(t *testing.T) {
			plan := &emulator.Plan{Faults: []emulator.FaultEvent{{Fault: emulator.Fault{Kind: test.kind}}}}
			idle := (&emulator.Report{Plan: plan, Events: []emulator.Event{processEnded(9, "stopped another way")}}).IdleFaults()
			if !slices.Equal(idle, []string{test.kind}) {
				t.Errorf("idle: %v", idle)
			}
			if idle := (&emulator.Report{Plan: plan, Events: []emulator.Event{test.does}}).IdleFaults(); len(idle) > 0 {
				t.Errorf("idle: %v, though it did something", idle)
			}
		})
	}
}
