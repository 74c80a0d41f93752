package turns_test

import (
	"testing"

	"woodproxy/turns"
)

// TestGoldenSaid pins the encoding of what a proxy says of trials and watches, the body of rows of kinds Trial and Beat.
func TestGoldenSaid(t *testing.T) {
	checkGolden(t, "said.golden", []goldenCase{
		{name: "said-full", full: true, value: &turns.Said{Round: 70000, How: turns.Answers, For: 25000}},
		{name: "trial-begins", value: &turns.Said{Round: 3, How: turns.Out}},
		{name: "trial-fails", value: &turns.Said{Round: 3, How: turns.Silent}},
		{name: "beat", value: &turns.Said{For: 25000}},
		{name: "said-empty", value: &turns.Said{}},
	})
}

// TestWireNumbers pins the numbers that go on the wire, and those by which the caller picks the kind of a row.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"kind trial", int64(turns.Trial), 0},
		{"kind beat", int64(turns.Beat), 1},
		{"outcome out", int64(turns.Out), 0},
		{"outcome silent", int64(turns.Silent), 1},
		{"outcome answers", int64(turns.Answers), 2},
		{"units of time in a second", int64(turns.Second), 10000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}
