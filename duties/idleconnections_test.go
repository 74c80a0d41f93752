package duties

import "testing"

// A node that leaves the endpoint list and comes back gets its owners, whatever their proxies were told before.
func TestReturningNodeGetsItsOwners(t *testing.T) {
	a := newAssigner(t, "n3", makeMembers(60, 3))
	told, now := map[string]bool{}, Time(0)
	follow := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Action == SetIdleConnections {
				told[d.Node] = d.Enabled
			}
		}
	}
	names := []string{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}
	for _, listed := range [][]string{names, names[:2], names} {
		follow(a.SetNodes(now, listed))
		now += Second
		follow(a.Tick(now))
	}
	owned := 0
	for _, name := range names {
		if told[name] != a.nodes.byName[name].owned {
			t.Errorf("%s: the caller was told %v", name, told[name])
		}
		if told[name] {
			owned++
		}
	}
	if owned == len(names) || owned != a.Statistics().OwnedNodes {
		t.Errorf("%d nodes owned, %d in the statistics", owned, a.Statistics().OwnedNodes)
	}
}
