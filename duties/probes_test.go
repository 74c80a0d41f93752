package duties

import (
	"os"
	"strconv"
	"testing"
)

// The rate of probes to an unresponsive node hardly depends on the size of the fleet or on the loss of reports. After
// the node recovers, all proxies use it again as soon as they have requests for it.
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
			smallest := 0.0 // probes per second from the smallest fleet
			for _, size := range sizes {
				s := newSimulation(size, defaultSettings, 1)
				s.lossRate, s.requestRate = c.lossRate, 4*float64(size) // the same request rate per proxy at any size
				got := runNodeOutage(t, s)
				t.Logf("%d proxies: %.2f probes/s, recovery %.2f s", size, got.probesPerSecond, seconds(got.recovery))
				if size == sizes[0] {
					smallest = got.probesPerSecond
				}
				if got.probesPerSecond > 5 || got.probesPerSecond < 0.5 || got.probesPerSecond > 1.5*smallest ||
					got.recovery > 3*Second {
					t.Errorf("%d proxies: got %.2f probes/s, want 0.5 to 5 and about as many as %d proxies, %.2f; recovery took %.2f s",
						size, got.probesPerSecond, sizes[0], smallest, seconds(got.recovery))
				}
			}
		})
	}
}

// The simulation detects a probe rate that grows with the fleet: without sharing, each proxy probes at intervals of its
// own backoff.
func TestProbeRateGrowsWithoutSharing(t *testing.T) {
	s := newSimulation(300, defaultSettings, 1)
	s.independentProbes, s.requestRate = true, 1200
	if got := runNodeOutage(t, s); got.probesPerSecond < 20 {
		t.Errorf("300 proxies without sharing: got %.1f probes/s, want at least 20", got.probesPerSecond)
	}
}

// When the whole fleet has thirteen requests per second for a node, a single proxy rarely has a request to send as a
// probe, so that other proxies have to take over.
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
			if got := runNodeOutage(t, s); got.probesPerSecond < 0.3 || got.probesPerSecond > 3 {
				t.Errorf("got %.2f probes/s, want 0.3 to 3", got.probesPerSecond)
			}
		})
	}
}

// A faulty proxy that reports every probe as started but sends none, or that always reports success, hardly changes the
// rate of probes.
func TestFaultyProxyHardlyChangesProbes(t *testing.T) {
	const faultyProxy = 5
	honest := runNodeOutage(t, newSimulation(24, defaultSettings, 3))
	for _, c := range []struct {
		name    string
		outcome ProbeOutcome
	}{
		{"reports every probe as started", ProbeStarted},
		{"always reports success", ProbeSucceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(24, defaultSettings, 3)
			s.misbehave = func(s *simulation, proxy int) {
				if proxy == faultyProxy {
					report := Report{Round: int64(s.now), Outcome: c.outcome}
					s.execute(proxy, []Decision{{Action: Broadcast, Kind: ProbeReport, Key: probedNodeName, Report: report}})
				}
			}
			got := runNodeOutage(t, s)
			if got.probesPerSecond < honest.probesPerSecond/2 || got.probesPerSecond > honest.probesPerSecond*2+1 ||
				got.recovery > 5*Second {
				t.Errorf("got %.2f probes/s, want about the %.2f without the faulty proxy; recovery took %.2f s, want at most 5 s",
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
				t.Errorf("got %d rejected reports, want one more than %d", got, before)
			}
		})
	}
	if got := a.Statistics().RejectedReports; got != 4 {
		t.Errorf("got %d rejected reports in total, want 4", got)
	}
}
