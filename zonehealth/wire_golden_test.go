package zonehealth_test

import (
	"testing"

	"woodproxy/zonehealth"
)

// TestGoldenVoices pins the encoding of what a proxy says of a zone, the body of a row of kind Voice.
func TestGoldenVoices(t *testing.T) {
	stand := zonehealth.Stand{Epoch: 70000, State: zonehealth.Leaving, Step: 3, Flaps: 2, RetainedNodes: []uint32{0x01020304, 5}}
	checkGolden(t, "voices.golden", []goldenCase{
		{name: "voice-full", full: true, value: &zonehealth.Voice{
			Zone: "zone-1", Word: zonehealth.Against, LastAnswerAge: 4500, Run: 6,
			Ill: []uint32{0xa1a2a3a4, 7}, HealthyNodes: []uint32{0xb1b2b3b4}, InTime: 1.5, AnsweredLate: 2.5, Lost: 3.5, OriginLateShare: 0.25, InFlight: 10.5, Capacity: 20.5,
			Stand: stand, Plan: &zonehealth.Stand{Epoch: 70001, State: zonehealth.Out, Step: 1, Flaps: 4, RetainedNodes: []uint32{9}},
		}},
		{name: "voice-empty", value: &zonehealth.Voice{}},
		{name: "voice-with-empty-plan", value: &zonehealth.Voice{Zone: "zone-2", Word: zonehealth.For, Plan: &zonehealth.Stand{}}},
		{name: "stand-full", full: true, value: &stand},
		{name: "stand-empty", value: &zonehealth.Stand{}},
	})
}

// TestWireNumbers pins the numbers that go on the wire: in a Voice the word and the state, in an order's row the rank.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"word none", int64(zonehealth.None), 0},
		{"word for", int64(zonehealth.For), 1},
		{"word against", int64(zonehealth.Against), 2},
		{"state in", int64(zonehealth.In), 0},
		{"state returning", int64(zonehealth.Returning), 1},
		{"state leaving", int64(zonehealth.Leaving), 2},
		{"state out", int64(zonehealth.Out), 3},
		{"order auto", int64(zonehealth.Auto), 0},
		{"order in", int64(zonehealth.KeepIn), 1},
		{"order hold", int64(zonehealth.Held), 2},
		{"order out", int64(zonehealth.KeepOut), 3},
		{"units of time in a second", int64(zonehealth.Second), 10000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}

// TestWantNames pins the names by which operators order, and those under which orders and states are shown.
func TestWantNames(t *testing.T) {
	for number, name := range []string{"auto", "in", "hold", "out"} {
		want := zonehealth.Want(number)
		if got, ok := zonehealth.Wants[name]; !ok || got != want || want.String() != name {
			t.Errorf("order %q: %d %v, shown as %q", name, got, ok, want)
		}
	}
	if len(zonehealth.Wants) != 4 {
		t.Errorf("%d orders, want 4", len(zonehealth.Wants))
	}
	for number, name := range []string{"in", "returning", "leaving", "out"} {
		if got := zonehealth.State(number).String(); got != name {
			t.Errorf("state %d: shown as %q, want %q", number, got, name)
		}
	}
}

// TestNodeNameHash pins the hash by which voices and stands name nodes.
func TestNodeNameHash(t *testing.T) {
	for name, want := range map[string]uint32{"": 0x51d8e999, "node-1": 0x5c6b16a5, "node-2": 0x695e1188} {
		if got := zonehealth.Hash(name); got != want {
			t.Errorf("%q: %#08x, want %#08x", name, got, want)
		}
	}
}
