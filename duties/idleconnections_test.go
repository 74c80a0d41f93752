package duties

import "testing"

// A node that is removed from the endpoint list and added again is assigned its owners, whatever decisions on the node
// their proxies made before.
func TestReturningNodeGetsItsOwners(t *testing.T) {
	a := newAssigner(t, "n3", makeMembers(60, 3))
	enabled, now := map[string]bool{}, Time(0)
	apply := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Action == SetIdleConnections {
				enabled[d.Node] = d.Enabled
			}
		}
	}
	names := []string{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}
	for _, listed := range [][]string{names, names[:2], names} {
		apply(a.SetNodes(now, listed))
		now += Second
		apply(a.Tick(now))
	}
	owned := 0
	for _, name := range names {
		if enabled[name] != a.nodes.byName[name].owned {
			t.Errorf("%s: got Enabled %v in the last decision, want the state of the assigner", name, enabled[name])
		}
		if enabled[name] {
			owned++
		}
	}
	if owned == len(names) || owned != a.Statistics().OwnedNodes {
		t.Errorf("got %d owned nodes, %d in the statistics, want the same and not all", owned, a.Statistics().OwnedNodes)
	}
}
