package duties_test

import (
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/duties"
)

// TestGoldenReport pins the encoding of the body of reports on probes and of heartbeats.
func TestGoldenReport(t *testing.T) {
	goldentest.Msgpack(t, "said.golden", []goldentest.Value{
		{Name: "said-full", Full: true, Value: &duties.Report{Round: 70000, Outcome: duties.ProbeSucceeded, ValidFor: 25000}},
		{Name: "trial-begins", Value: &duties.Report{Round: 3, Outcome: duties.ProbeStarted}},
		{Name: "trial-fails", Value: &duties.Report{Round: 3, Outcome: duties.ProbeFailed}},
		{Name: "beat", Value: &duties.Report{ValidFor: 25000}},
		{Name: "said-empty", Value: &duties.Report{}},
	})
}

// TestWireNumbers pins the numbers that go on the wire, and those by which the caller picks the kind of a row.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"kind of probe reports", int64(duties.ProbeReport), 0},
		{"kind of heartbeats", int64(duties.WatchHeartbeat), 1},
		{"outcome of a started probe", int64(duties.ProbeStarted), 0},
		{"outcome of a failed probe", int64(duties.ProbeFailed), 1},
		{"outcome of a successful probe", int64(duties.ProbeSucceeded), 2},
		{"units of time in a second", int64(duties.Second), 10000},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("%d, want %d", c.got, c.want)
			}
		})
	}
}
