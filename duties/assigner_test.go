package duties

import (
	"fmt"
	"testing"
)

// newAssigner returns an assigner with the default settings and the given members.
func newAssigner(t *testing.T, name string, members []Proxy) *Assigner {
	t.Helper()
	settings := defaultSettings
	settings.Self = name
	a := New(0, settings)
	a.SetMembers(0, members, false)
	return a
}

// A proxy that starts or catches up leaves no duty to others: it watches discovery, keeps idle connections to all
// nodes, and sends probes without a schedule from the assigner.
func TestProxyThatCatchesUpDoesAllDuties(t *testing.T) {
	settings := Settings{
		Self: "n1", Watchers: 2, IdleOwners: 2, ShareProbes: true,
		ProbeInterval: Second, TakeoverDelay: Second / 5, HeartbeatInterval: Second / 2, LeaseDuration: 2 * Second,
	}
	a := New(0, settings)
	a.SetNodes(0, []string{"c1"})
	a.SetMembers(0, makeMembers(9, 1), true)
	for now := Time(0); now < 10*Second; now += tickInterval {
		if decisions := a.Tick(now); len(decisions) > 0 {
			t.Fatalf("at %.1f s: got decisions %+v, want none", seconds(now), decisions)
		}
	}
	for _, d := range a.SetEjected(11*Second, "c1", true) {
		if d.Action != Broadcast {
			t.Errorf("got decision %+v, want Broadcast only", d)
		}
	}
}

// A fleet grows from 8 proxies to 300 and shrinks to 8 again within a minute, in steps; in one of them seven in ten
// proxies are killed at once. Discovery is never unwatched for more than a few seconds, few proxies watch it once the
// fleet is stable, and each node has its owners.
func TestFleetGrowsAndShrinks(t *testing.T) {
	s := newSimulation(300, defaultSettings, 8)
	for i, p := range s.proxies {
		p.up = i < 8
	}
	s.shareMembership()
	start := s.now
	s.lastWatched = start
	for _, size := range []int{8, 40, 120, 300, 90, 300, 60, 8} {
		s.resize(size)
		s.run(Second) // while the proxies still have the old membership
		s.shareMembership()
		s.run(6 * Second)
		checkDuties(t, s, fmt.Sprintf("fleet of %d", size))
	}
	if span := s.now - start; s.longestGap > 4*Second || span > 61*Second {
		t.Errorf("got %.2f s without a watch, in a run of %.1f s; want at most 4 s, in 61 s", seconds(s.longestGap), seconds(span))
	}
}

// resize stops and starts proxies so that exactly the first size proxies are up. A started proxy is a new process.
func (s *simulation) resize(size int) {
	for i, p := range s.proxies {
		wasUp := p.up
		p.up = i < size
		if p.up && !wasUp {
			s.proxies[i] = s.startProxy(i, defaultSettings)
		}
	}
}

// checkDuties checks that the simulation's two nodes have enough owners, and that neither too few nor too many proxies
// watch discovery.
func checkDuties(t *testing.T, s *simulation, stage string) {
	t.Helper()
	alive := s.count(func(*simulatedProxy) bool { return true })
	owners := 0
	for _, p := range s.proxies {
		if !p.up {
			continue
		}
		for _, n := range p.nodes.sorted {
			if n.owned {
				owners++
			}
		}
	}
	if owners < 2*min(defaultSettings.IdleOwners, alive) {
		t.Errorf("%s: %d proxies alive: got %d owners of the two nodes together, want more", stage, alive, owners)
	}
	want := min(alive, defaultSettings.Watchers)
	if got := s.watchingCount(); got < want || got > maxSurplus*defaultSettings.Watchers {
		t.Errorf("%s: %d proxies alive: got %d watchers, want 1 to maxSurplus times the configured number", stage, alive, got)
	}
}
