package duties

import (
	"os"
	"strconv"
	"testing"
)

// However large the fleet and however many reports are lost, a silent node gets about as many probes, and all
// proxies use it again as soon as they have requests for it.
func TestProbeRateDoesNotGrowWithFleet(t *testing.T) {
	sizes := []int{8, 24, 60, 300}
	if size, err := strconv.Atoi(os.Getenv("WOODPROXY_LARGE")); err == nil {
		sizes = append(sizes, size)
	}
	for _, c := range []struct {
		name     string
		lossRate float64
	}{
		{"no report lost", 0},
		{"a third of the reports lost", 0.33},
	} {
		t.Run(c.name, func(t *testing.T) {
			smallest := 0.0 // probes a second that the smallest fleet sends
			for _, size := range sizes {
				s := newSimulation(size, defaultSettings, 1)
				s.lossRate, s.requestRate = c.lossRate, 4*float64(size) // each proxy has as many requests at any size
				got := silenceNode(t, s)
				t.Logf("%d proxies: %.2f probes a second, back after %.2f s", size, got.probesPerSecond, seconds(got.recovery))
				if size == sizes[0] {
					smallest = got.probesPerSecond
				}
				if got.probesPerSecond > 5 || got.probesPerSecond < 0.5 || got.probesPerSecond > 1.5*smallest ||
					got.recovery > 3*Second {
					t.Errorf("%d proxies: %.2f probes a second, %d proxies sent %.2f; back after %.2f s",
						size, got.probesPerSecond, sizes[0], smallest, seconds(got.recovery))
				}
			}
		})
	}
}

// The baseline shows that the simulation measures something: by their own backoff, the probes grow with the fleet.
func TestProbeRateGrowsWithoutSharing(t *testing.T) {
	s := newSimulation(300, defaultSettings, 1)
	s.independent, s.requestRate = true, 1200
	if got := silenceNode(t, s); got.probesPerSecond < 20 {
		t.Errorf("300 proxies by their own backoff send only %.1f probes a second", got.probesPerSecond)
	}
}

// When the whole fleet has thirteen requests a second for a node, a single proxy seldom has one: others take over
// its turn.
func TestProbesGoOnWithFewRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
	}{
		{"24 proxies", 24},
		{"300 proxies", 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(c.size, defaultSettings, 2)
			s.requestRate = 13
			if got := silenceNode(t, s); got.probesPerSecond < 0.3 || got.probesPerSecond > 3 {
				t.Errorf("%.2f probes a second", got.probesPerSecond)
			}
		})
	}
}

// A proxy that claims every probe and sends none, or reports an answer all the time, hardly changes the rate of
// probes.
func TestFaultyProxyHardlyChangesProbes(t *testing.T) {
	const faultyProxy = 5
	honest := silenceNode(t, newSimulation(24, defaultSettings, 3))
	for _, c := range []struct {
		name    string
		outcome ProbeOutcome
	}{
		{"claims every probe", ProbeStarted},
		{"always reports an answer", ProbeSucceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(24, defaultSettings, 3)
			s.misbehave = func(s *simulation, proxy int) {
				if proxy == faultyProxy {
					report := Report{Round: int64(s.now), Outcome: c.outcome}
					s.carryOut(proxy, []Decision{{Action: Broadcast, Kind: ProbeReport, Key: probedNodeName, Report: report}})
				}
			}
			got := silenceNode(t, s)
			if got.probesPerSecond < honest.probesPerSecond/2 || got.probesPerSecond > honest.probesPerSecond*2+1 ||
				got.recovery > 5*Second {
				t.Errorf("%.2f probes a second, %.2f without the faulty proxy; back after %.2f s",
					got.probesPerSecond, honest.probesPerSecond, seconds(got.recovery))
			}
		})
	}
}

func TestReportsOutOfBoundsAreRejected(t *testing.T) {
	a := newAssigner(t, "n0", makeMembers(5, 1))
	a.SetNodes(0, []string{"c1"})
	for _, c := range []struct {
		name   string
		node   string
		report Report
	}{
		{"negative round", "c1", Report{Round: -1}},
		{"round far ahead", "c1", Report{Round: 1 << 40}},
		{"unknown outcome", "c1", Report{Outcome: 9}},
		{"unknown node", "else", Report{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := a.Statistics().RejectedReports
			a.HandleReport(0, "n1", ProbeReport, c.node, c.report, 0)
			if got := a.Statistics().RejectedReports; got != before+1 {
				t.Errorf("%d rejected, before it %d", got, before)
			}
		})
	}
	if got := a.Statistics().RejectedReports; got != 4 {
		t.Errorf("%d rejected in all, want 4", got)
	}
}
