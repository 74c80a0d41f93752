package zonehealth_test

import (
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/zonehealth"
)

// TestGoldenReports pins the encoding of Report, the body of a row of kind replica.KindZoneReport. The case names are
// the keys of the golden file.
func TestGoldenReports(t *testing.T) {
	verdict := zonehealth.Verdict{Epoch: 70000, State: zonehealth.PartlyEvacuated, Step: 3, Flaps: 2, RetainedNodes: []uint32{0x01020304, 5}}
	goldentest.Msgpack(t, "voices.golden", []goldentest.Value{
		{Name: "voice-full", Full: true, Value: &zonehealth.Report{
			Zone: "zone-1", Vote: zonehealth.VoteUnhealthy, LastResponseAge: 4500, UnansweredRun: 6,
			UnhealthyNodes: []uint32{0xa1a2a3a4, 7}, HealthyNodes: []uint32{0xb1b2b3b4}, InTime: 1.5, AnsweredLate: 2.5, Unanswered: 3.5,
			OriginLateFraction: 0.25, InFlight: 10.5, Capacity: 20.5, Verdict: verdict,
			Proposal: &zonehealth.Verdict{Epoch: 70001, State: zonehealth.Evacuated, Step: 1, Flaps: 4, RetainedNodes: []uint32{9}},
		}},
		{Name: "voice-empty", Value: &zonehealth.Report{}},
		{Name: "voice-with-empty-plan", Value: &zonehealth.Report{Zone: "zone-2", Vote: zonehealth.VoteHealthy, Proposal: &zonehealth.Verdict{}}},
		{Name: "stand-full", Full: true, Value: &verdict},
		{Name: "stand-empty", Value: &zonehealth.Verdict{}},
	})
}

// TestWireNumbers pins the numbers that are sent on the wire: the vote and the state in a report, and the override mode,
// which is the rank of an override's row. It also pins the unit of the times in a report.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"no vote", int64(zonehealth.NoVote), 0},
		{"healthy vote", int64(zonehealth.VoteHealthy), 1},
		{"unhealthy vote", int64(zonehealth.VoteUnhealthy), 2},
		{"state in", int64(zonehealth.InService), 0},
		{"state returning", int64(zonehealth.Returning), 1},
		{"state leaving", int64(zonehealth.PartlyEvacuated), 2},
		{"state out", int64(zonehealth.Evacuated), 3},
		{"override auto", int64(zonehealth.OverrideAuto), 0},
		{"override in", int64(zonehealth.OverrideIn), 1},
		{"override hold", int64(zonehealth.OverrideHold), 2},
		{"override out", int64(zonehealth.OverrideOut), 3},
		{"units of time in a second", int64(zonehealth.Second), 10000},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %d, want %d", c.got, c.want)
			}
		})
	}
}

// TestOverrideNames pins the names of the override modes, both as operators enter them and as they are displayed.
func TestOverrideNames(t *testing.T) {
	for number, name := range []string{"auto", "in", "hold", "out"} {
		t.Run(name, func(t *testing.T) {
			want := zonehealth.OverrideMode(number)
			if got, ok := zonehealth.OverrideModes[name]; !ok || got != want || want.String() != name {
				t.Errorf("got mode %d (known %v), want %d; displayed as %q", got, ok, want, want.String())
			}
		})
	}
	if len(zonehealth.OverrideModes) != 4 {
		t.Errorf("got %d override modes, want 4", len(zonehealth.OverrideModes))
	}
}

// TestStateNames pins the displayed names of states.
func TestStateNames(t *testing.T) {
	for number, name := range []string{"in", "returning", "leaving", "out"} {
		t.Run(name, func(t *testing.T) {
			if got := zonehealth.State(number).String(); got != name {
				t.Errorf("State(%d).String(): got %q, want %q", number, got, name)
			}
		})
	}
}

// TestNodeNameHash pins the hash that identifies nodes in reports and verdicts.
func TestNodeNameHash(t *testing.T) {
	for _, c := range []struct {
		name string
		node string
		want uint32
	}{
		{"empty name", "", 0x51d8e999},
		{"first node", "node-1", 0x5c6b16a5},
		{"second node", "node-2", 0x695e1188},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := zonehealth.NodeHash(c.node); got != c.want {
				t.Errorf("NodeHash(%q): got %#08x, want %#08x", c.node, got, c.want)
			}
		})
	}
}
