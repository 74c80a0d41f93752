package duties

import "testing"

// Reports from two other proxies that a node does not respond raise suspicion before a request of this proxy to the
// node has failed; repeated reports from one proxy do not.
func TestTwoProxiesRaiseSuspicion(t *testing.T) {
	a := newAssigner(t, "n0", makeMembers(9, 1))
	a.SetNodes(0, []string{"c1"})
	hintsAfter := func(now Time, from string, outcome ProbeOutcome) []bool {
		var hints []bool
		for _, d := range a.HandleReport(now, from, ProbeReport, "c1", Report{Outcome: outcome}, 0) {
			if d.Action == SetSuspicion {
				hints = append(hints, d.Enabled)
			}
		}
		return hints
	}
	for i := range 5 {
		if got := hintsAfter(Time(i)*Second/10, "n1", ProbeFailed); len(got) > 0 {
			t.Errorf("report %d from a single proxy: got hints %v, want none", i, got)
		}
	}
	if got := hintsAfter(Second, "n2", ProbeFailed); len(got) != 1 || !got[0] {
		t.Errorf("report from a second proxy: got hints %v, want [true]", got)
	}
	if got := hintsAfter(Second, "n3", ProbeSucceeded); len(got) != 1 || got[0] {
		t.Errorf("report of success: got hints %v, want [false]", got)
	}
}
