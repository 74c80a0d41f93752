package duties

import (
	"fmt"
	"testing"
)

// newAssigner returns an assigner with the default settings that knows the members.
func newAssigner(t *testing.T, name string, members []Proxy) *Assigner {
	t.Helper()
	settings := defaultSettings
	settings.Self = name
	a := New(0, settings)
	a.SetMembers(0, members, false)
	return a
}

// A proxy that starts or catches up leaves no duty to others: it watches, keeps all idle connections, and probes by
// its own clock.
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
			t.Fatalf("at %.1f s: %+v, want no decision", seconds(now), decisions)
		}
	}
	for _, d := range a.SetEjected(11*Second, "c1", true) {
		if d.Action != Broadcast {
			t.Errorf("%+v, want reports only", d)
		}
	}
}

// A fleet of 8 becomes 300 and 8 again within a minute, in steps, and seven in ten proxies die at once on the way:
// but for a few seconds some proxy always watches, few do once the fleet is stable, and each node keeps its owners.
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
		s.run(Second) // before the proxies learn of it
		s.shareMembership()
		s.run(6 * Second)
		checkDuties(t, s, fmt.Sprintf("fleet of %d", size))
	}
	if span := s.now - start; s.longestGap > 4*Second || span > 61*Second {
		t.Errorf("no proxy watches for %.2f s, of %.1f s", seconds(s.longestGap), seconds(span))
	}
}

// resize stops proxies, or starts new processes, so that the first size proxies are up.
func (s *simulation) resize(size int) {
	for i, p := range s.proxies {
		wasUp := p.up
		p.up = i < size
		if p.up && !wasUp {
			s.proxies[i] = s.startProxy(i, defaultSettings)
		}
	}
}

// checkDuties checks that the simulation's two nodes have enough owners, and that enough proxies watch but not too
// many.
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
		t.Errorf("%s: %d alive, the two nodes have %d owners together", stage, alive, owners)
	}
	want := min(alive, defaultSettings.Watchers)
	if got := s.watchingCount(); got < want || got > maxSurplus*defaultSettings.Watchers {
		t.Errorf("%s: %d alive, %d watch", stage, alive, got)
	}
}
