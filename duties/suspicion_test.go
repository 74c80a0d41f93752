package duties

import "testing"

// Two other proxies that find a node silent raise suspicion before this proxy has lost a request there; one that
// repeats itself does not.
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
			t.Errorf("report %d of a single proxy: hints %v, want none", i, got)
		}
	}
	if got := hintsAfter(Second, "n2", ProbeFailed); len(got) != 1 || !got[0] {
		t.Errorf("report of a second proxy: hints %v, want suspicion", got)
	}
	if got := hintsAfter(Second, "n3", ProbeSucceeded); len(got) != 1 || got[0] {
		t.Errorf("report of an answer: hints %v, want the end of suspicion", got)
	}
}
