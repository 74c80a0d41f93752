package duties_test

import (
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/duties"
)

// The encoding of the body of probe reports and of heartbeats must not change.
func TestGoldenReport(t *testing.T) {
	goldentest.Msgpack(t, "said.golden", []goldentest.Value{
		{Name: "said-full", Full: true, Value: &duties.Report{Round: 70000, Outcome: duties.ProbeSucceeded, ValidFor: 25000}},
		{Name: "trial-begins", Value: &duties.Report{Round: 3, Outcome: duties.ProbeStarted}},
		{Name: "trial-fails", Value: &duties.Report{Round: 3, Outcome: duties.ProbeFailed}},
		{Name: "beat", Value: &duties.Report{ValidFor: 25000}},
		{Name: "said-empty", Value: &duties.Report{}},
	})
}

// The values that are sent to other proxies, and those that the caller uses to select the kind of a row, must not change.
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
				t.Errorf("got %d, want %d", c.got, c.want)
			}
		})
	}
}
