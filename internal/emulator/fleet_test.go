package emulator_test

import (
	"strings"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// One zone is cut off, another is lost and returns with empty caches, and links are severed in one direction or slow. With
// and without gossip, no invariant is violated and most requests are served.
func TestZoneAndLinkFaultsViolateNoInvariant(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"zones"`, "length_s = 2.0", "length_s = 10.0", "nodes = 3", "nodes = 6", "rate = 150.0", "rate = 90.0"),
		`kind = "zone-cut"; at_s = 0.5; for_s = 2.0; zone = "b"; reset = true`,
		`kind = "zone-lost"; at_s = 3.5; for_s = 1.5; zone = "a"; cold = true; spread_s = 0.5`,
		`kind = "link"; at_s = 6.5; for_s = 1.0; part = 1.0; from = ["n0"]; to = ["c1", "d0"]; one_way = true`,
		`kind = "link"; at_s = 6.0; for_s = 3.0; part = 0.0; slow_ms = 30.0; from = ["n*"]; to = ["c*"]`,
	)
	start := buildProgram(t)
	for _, proxies := range []string{"proxies = 4\npeers = { talk = true, hold_s = 1.0 }", "proxies = 4"} {
		r := playWithoutViolation(t, strings.Replace(text, "proxies = 2", proxies, 1), start)
		slow := 0
		for _, result := range r.Results {
			at := result.Request.At
			overSlowLink := at > 7500*time.Millisecond && at < 8900*time.Millisecond
			if result.Outcome == emulator.Completed && overSlowLink && result.Latency > 30*time.Millisecond {
				slow++
			}
		}
		if completed := completedFraction(r); completed < 0.7 || completed > 0.999 || slow < 50 {
			t.Errorf("%d requests: %v, want 70%% to 99.9%% completed; %d slow, want at least 50", len(r.Plan.Requests), countOutcomes(r), slow)
		}
	}
}

// Among six gossiping processes, two are partitioned, datagrams are lost, two have silent discovery, one is paused and two
// are killed at once. No invariant is violated, quotas are kept, and at the end all processes have the same rows.
func TestGossipConvergesUnderFaults(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"peers"`, "length_s = 2.0", "length_s = 15.0",
			"proxies = 2", "proxies = 6\npeers = { talk = true, hold_s = 1.0 }", "rate = 150.0", "rate = 90.0"),
		`kind = "lossy"; at_s = 0.0; for_s = 11.0; part = 0.2`,
		`kind = "deaf"; at_s = 0.5; for_s = 10.0; nodes = 2`,
		`kind = "part"; at_s = 1.0; for_s = 3.0; nodes = 2`,
		`kind = "replace"; at_s = 2.0; for_s = 0.5; nodes = 1; leave_ms = 600.0`,
		`kind = "pause"; at_s = 8.0; for_s = 2.5; nodes = 1`,
		`kind = "mass-kill"; at_s = 5.0; for_s = 0.5; nodes = 2; spread_s = 0.5`,
	)
	r := playWithoutViolation(t, text, buildProgram(t))
	if completedFraction(r) < 0.8 {
		t.Errorf("%d requests: %v; too few were completed", len(r.Plan.Requests), countOutcomes(r))
	}
	last, paused, leastQuota := map[int]emulator.Event{}, 0, 1.0
	for _, e := range r.Events {
		switch e.Kind {
		case emulator.QuotaReported:
			last[e.Proxy] = e
			leastQuota = min(leastQuota, e.Figure)
		case emulator.ProcessPaused:
			paused++
		}
	}
	sum := 0.0
	for i, e := range last {
		if e.Note != last[0].Note || e.Note == "" || e.MadeFor != "false" {
			t.Errorf("n%d reports rows %q, behind %s, at %v; n0 reports rows %q at %v", i, e.Note, e.MadeFor, e.At, last[0].Note, last[0].At)
		}
		sum += e.Figure
	}
	if paused != 2 || leastQuota > 0.05 { // a restarted process begins with a quarter of its sixth
		t.Errorf("got %d pause events, want 2; got least quota %.3f, want at most 0.05: faults were not injected", paused, leastQuota)
	}
	if len(last) != 6 || sum < 0.8 { // a lease that its lender has deducted and its borrower has not yet added is in no quota
		t.Errorf("got %d proxies that report %.3f of the limits in total, want 6 and at least 0.8", len(last), sum)
	}
}

// Of three zones, b is lost with its proxies and returns with empty caches, c is cut off, and a is partly slow and failing.
// All proxies outside b and c evacuate these zones and return to them; none evacuates a. No invariant is violated.
func TestZonesLeft(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"quarters"`, "length_s = 2.0", "length_s = 25.0", "nodes = 3", "nodes = 6",
			`zones = ["a", "b"]`, `zones = ["a", "b", "c"]`,
			"proxies = 2", "proxies = 6\npeers = { talk = true, hold_s = 1.0 }\nzones = { judged = \"fleet\" }", "rate = 150.0", "rate = 120.0"),
		`kind = "zone-lost"; at_s = 1.0; for_s = 3.0; zone = "b"; cold = true; spread_s = 0.3`,
		`kind = "zone-cut"; at_s = 12.5; for_s = 3.0; zone = "c"`,
		`kind = "zone-grey"; at_s = 13.0; for_s = 5.0; zone = "a"; times = 10.0; part = 0.2`,
	)
	r := playWithoutViolation(t, text, buildProgram(t))
	if len(r.ZoneFaults) != 3 || r.FalseVerdicts > 0 {
		t.Fatalf("got zone faults %+v, want 3; %d verdicts that no fault explains, want 0", r.ZoneFaults, r.FalseVerdicts)
	}
	for i, z := range r.ZoneFaults {
		evacuated := z.NeverEvacuated == 0 && z.LastEvacuated < 3*time.Second && z.Returned > 0
		if evacuated != (i < 2) {
			t.Errorf("unexpected outcome of a zone fault: %+v", z)
		}
	}
	if completedFraction(r) < 0.9 {
		t.Errorf("%d requests: %v; too few were completed", len(r.Plan.Requests), countOutcomes(r))
	}
}

// No proxy evacuates a zone whose only node responds too late, as in a burst, because the node still accepts connections. A
// zone that is cut off, so that no connection can be established, is evacuated.
func TestOverloadedZoneIsNotEvacuated(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"busy"`, "length_s = 2.0", "length_s = 10.0", `zones = ["a", "b"]`, `zones = ["a", "b", "c"]`,
			"rate = 150.0", "rate = 90.0", "proxies = 2", "proxies = 3\nzones = { judged = \"alone\" }"),
		`kind = "zone-grey"; at_s = 0.5; for_s = 3.0; zone = "a"; times = 500.0`,
		`kind = "zone-cut"; at_s = 4.5; for_s = 4.0; zone = "b"`,
	)
	r := playWithoutViolation(t, text, buildProgram(t))
	if r.FalsePositives > 0 || len(r.ZoneFaults) != 2 {
		t.Fatalf("got zone faults %+v, want 2; %d evacuations that no fault explains, want 0", r.ZoneFaults, r.FalsePositives)
	}
	if busy, cut := r.ZoneFaults[0], r.ZoneFaults[1]; busy.FirstEvacuated > 0 || cut.FirstEvacuated == 0 {
		t.Errorf("overloaded zone, want no evacuation: %+v; zone cut off, want an evacuation: %+v", busy, cut)
	}
}

// The proxy replaces a discovery watch that becomes silent; a change that the watch missed counts as delivered six seconds
// after it was published. An agent may also have a change before its proxy starts. A proxy whose discovery agent delivers
// nothing at all violates the drain invariant, which shows that the check works.
func TestListClock(t *testing.T) {
	t.Parallel()
	const replaced = `kind = "replace"; at_s = 0.8; for_s = 0.1; nodes = 1; leave_ms = 9500.0`
	for _, c := range []struct {
		name   string
		faults []string
		broken bool
	}{
		{"hush", []string{`kind = "hush"; at_s = 0.5; for_s = 0.0`, replaced}, false},
		{"late-answers", []string{
			`kind = "late-answers"; at_s = 0.4; for_s = 9.0; slow_ms = 2000.0`, `kind = "hush"; at_s = 0.5; for_s = 0.0`, replaced,
		}, false},
		{"deaf", []string{`kind = "deaf"; at_s = 0.5; for_s = 9.0`, replaced}, true},
		{"agent-ahead", []string{`kind = "agent-ahead"; at_s = 1.0; for_s = 3.0; nodes = 1`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			text := withFaults(strings.Replace(calmScenario, "length_s = 2.0", "length_s = 10.0", 1), c.faults...)
			got := countViolations(play(t, text, buildProgram(t)))
			if broken := got[emulator.DrainRule] > 0; broken != c.broken || len(got) > 1 {
				t.Errorf("unexpected violations by invariant: %v", got)
			}
		})
	}
}

// Processes share duties while a node is silent, nodes are replaced, and proxies that hold the discovery watches are killed,
// partitioned and silenced. No invariant is violated, and fewer watches are open than if each proxy opens its own.
func TestSharedDutiesReduceWatches(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"turns"`, "length_s = 2.0", "length_s = 18.0", "nodes = 3", "nodes = 4",
			"proxies = 2", "proxies = 8\npeers = { talk = true, hold_s = 1.0 }\nturns = { on = true, watchers = 2, keepers = 2 }",
			"rate = 150.0", "rate = 160.0"),
		`kind = "silent"; at_s = 0.5; for_s = 6.0; nodes = 1`,
		`kind = "mass-kill"; at_s = 7.0; for_s = 1.0; nodes = 4`,
		`kind = "replace"; at_s = 7.3; for_s = 0.5; nodes = 1; leave_ms = 4000.0`,
		`kind = "part"; at_s = 12.0; for_s = 3.0; nodes = 3`,
		`kind = "replace"; at_s = 12.3; for_s = 0.5; nodes = 1; leave_ms = 4500.0`,
		`kind = "hush"; at_s = 12.1; for_s = 0.0`,
	)
	r, unshared := playBoth(t, text, "on = true", "on = false")
	if completedFraction(r) < 0.85 {
		t.Errorf("%d requests: %v; too few were completed", len(r.Plan.Requests), countOutcomes(r))
	}
	if r.BackgroundLoad.MeanOpenWatches > 0.75*unshared.BackgroundLoad.MeanOpenWatches || unshared.BackgroundLoad.MeanOpenWatches < 6 || r.BackgroundLoad.MeanOpenWatches < 1 {
		t.Errorf("mean number of open watches: got %.1f with shared duties, want at least 1 and at most 75%% of the %.1f without, at least 6",
			r.BackgroundLoad.MeanOpenWatches, unshared.BackgroundLoad.MeanOpenWatches)
	}
	t.Logf("with shared duties %+v, without %+v", r.BackgroundLoad, unshared.BackgroundLoad)
}

// Processes with a negative cache are partitioned, paused, killed and restarted, and datagrams are lost, while keys are
// written. No key is reported absent for longer than allowed after it was written, and the origin receives fewer lookups of
// absent keys than clients send.
func TestNegativeCacheStaysCurrentUnderFaults(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"missing"`, "length_s = 2.0", "length_s = 20.0",
			"proxies = 2", "proxies = 6\npeers = { talk = true, hold_s = 1.0 }\nmissing = { on = true, part = 0.5 }",
			"rate = 150.0", "rate = 250.0", "count = 200", "count = 2000"),
		`kind = "lossy"; at_s = 7.0; for_s = 12.0; part = 0.2`,
		`kind = "part"; at_s = 7.5; for_s = 4.0; nodes = 2`,
		`kind = "pause"; at_s = 13.0; for_s = 3.0; nodes = 1`,
		`kind = "kill"; at_s = 9.0; for_s = 0.1; nodes = 1`,
		`kind = "restart"; at_s = 16.5; for_s = 0.1; nodes = 1`,
	)
	r := playWithoutViolation(t, text, buildProgram(t))
	if completedFraction(r) < 0.85 {
		t.Errorf("%d requests: %v; too few were completed", len(r.Plan.Requests), countOutcomes(r))
	}
	if r.AbsentRepliesPerSecond < 20 || r.AbsentLookupsPerSecond > 0.95*r.AbsentRepliesPerSecond {
		t.Errorf("%.1f replies/s for absent keys, want at least 20; %.1f origin lookups/s, want at most 95%% of the replies",
			r.AbsentRepliesPerSecond, r.AbsentLookupsPerSecond)
	}
	t.Logf("absent keys: %.1f replies/s, %.1f origin lookups/s, reported for at most %v after the write",
		r.AbsentRepliesPerSecond, r.AbsentLookupsPerSecond, r.MaxAbsentStaleness)
}

// Four of six proxies are killed while discovery refuses watches. With state files, service recovers; without them, the
// restarted proxies have no endpoint list.
func TestStateFilesRestoreServiceWithoutDiscovery(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"back"`, "length_s = 2.0", "length_s = 12.0", "proxies = 2", "proxies = 6\nstate = true",
			"rate = 150.0", "rate = 90.0"),
		`kind = "refusing"; at_s = 3.5; for_s = 8.0`,
		`kind = "mass-kill"; at_s = 4.0; for_s = 0.5; nodes = 4; spread_s = 0.5`,
	)
	stateful, stateless := playBoth(t, text, "state = true", "state = false")
	with, without := stateful.Recoveries[0], stateless.Recoveries[0]
	if with.Killed != 4 || with.Recovered+time.Second > without.Recovered || with.Recovered > 0 && without.Recovered > 0 && with.InTimeUntilRecovered <= without.InTimeUntilRecovered {
		t.Errorf("with state files %+v, without %+v", with, without)
	}
}
