package zones_test

import (
	"testing"

	"woodproxy/zones"
)

// TestGoldenVoices pins the encoding of what a proxy says of a zone, the body of a row of kind Voice.
func TestGoldenVoices(t *testing.T) {
	stand := zones.Stand{Epoch: 70000, State: zones.Leaving, Step: 3, Flaps: 2, Kept: []uint32{0x01020304, 5}}
	checkGolden(t, "voices.golden", []goldenCase{
		{name: "voice-full", full: true, value: &zones.Voice{
			Zone: "zone-1", Word: zones.Against, Ago: 4500, Run: 6,
			Ill: []uint32{0xa1a2a3a4, 7}, Well: []uint32{0xb1b2b3b4}, Fine: 1.5, Late: 2.5, Lost: 3.5, Origin: 0.25, Flying: 10.5, Room: 20.5,
			Stand: stand, Plan: &zones.Stand{Epoch: 70001, State: zones.Out, Step: 1, Flaps: 4, Kept: []uint32{9}},
		}},
		{name: "voice-empty", value: &zones.Voice{}},
		{name: "voice-with-empty-plan", value: &zones.Voice{Zone: "zone-2", Word: zones.For, Plan: &zones.Stand{}}},
		{name: "stand-full", full: true, value: &stand},
		{name: "stand-empty", value: &zones.Stand{}},
	})
}

// TestWireNumbers pins the numbers that go on the wire: in a Voice the word and the state, in an order's row the rank.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"word none", int64(zones.None), 0},
		{"word for", int64(zones.For), 1},
		{"word against", int64(zones.Against), 2},
		{"state in", int64(zones.In), 0},
		{"state returning", int64(zones.Returning), 1},
		{"state leaving", int64(zones.Leaving), 2},
		{"state out", int64(zones.Out), 3},
		{"order auto", int64(zones.Auto), 0},
		{"order in", int64(zones.KeepIn), 1},
		{"order hold", int64(zones.Held), 2},
		{"order out", int64(zones.KeepOut), 3},
		{"units of time in a second", int64(zones.Second), 10000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}

// TestWantNames pins the names by which operators order, and those under which orders and states are shown.
func TestWantNames(t *testing.T) {
	for number, name := range []string{"auto", "in", "hold", "out"} {
		want := zones.Want(number)
		if got, ok := zones.Wants[name]; !ok || got != want || want.String() != name {
			t.Errorf("order %q: %d %v, shown as %q", name, got, ok, want)
		}
	}
	if len(zones.Wants) != 4 {
		t.Errorf("%d orders, want 4", len(zones.Wants))
	}
	for number, name := range []string{"in", "returning", "leaving", "out"} {
		if got := zones.State(number).String(); got != name {
			t.Errorf("state %d: shown as %q, want %q", number, got, name)
		}
	}
}

// TestNodeNameHash pins the hash by which voices and stands name nodes.
func TestNodeNameHash(t *testing.T) {
	for name, want := range map[string]uint32{"": 0x51d8e999, "node-1": 0x5c6b16a5, "node-2": 0x695e1188} {
		if got := zones.Hash(name); got != want {
			t.Errorf("%q: %#08x, want %#08x", name, got, want)
		}
	}
}
