package duties_test

import (
	"testing"

	"woodproxy/duties"
)

// TestGoldenSaid pins the encoding of what a proxy says of trials and watches, the body of rows of kinds Trial and
// Beat.
func TestGoldenSaid(t *testing.T) {
	checkGolden(t, "said.golden", []goldenCase{
		{name: "said-full", full: true, value: &duties.Said{Round: 70000, How: duties.ProbeSucceeded, For: 25000}},
		{name: "trial-begins", value: &duties.Said{Round: 3, How: duties.ProbeStarted}},
		{name: "trial-fails", value: &duties.Said{Round: 3, How: duties.ProbeFailed}},
		{name: "beat", value: &duties.Said{For: 25000}},
		{name: "said-empty", value: &duties.Said{}},
	})
}

// TestWireNumbers pins the numbers that go on the wire, and those by which the caller picks the kind of a row.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"kind trial", int64(duties.Trial), 0},
		{"kind beat", int64(duties.Beat), 1},
		{"outcome out", int64(duties.ProbeStarted), 0},
		{"outcome silent", int64(duties.ProbeFailed), 1},
		{"outcome answers", int64(duties.ProbeSucceeded), 2},
		{"units of time in a second", int64(duties.Second), 10000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}
