package emulator_test

import (
	"strings"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// A zone that is cut off, one that is lost and comes back empty, and links that are severed in one direction or slow: with and
// without gossip no rule is broken, and most requests are served.
func TestZoneAndLinkFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"zones"`, "length_s = 2.0", "length_s = 10.0", "nodes = 3", "nodes = 6", "rate = 150.0", "rate = 90.0"),
		`kind = "zone-cut"; at_s = 0.5; for_s = 2.0; zone = "b"; reset = true`,
		`kind = "zone-lost"; at_s = 3.5; for_s = 1.5; zone = "a"; cold = true; spread_s = 0.5`,
		`kind = "link"; at_s = 6.5; for_s = 1.0; part = 1.0; from = ["n0"]; to = ["c1", "d0"]; one_way = true`,
		`kind = "link"; at_s = 6.0; for_s = 3.0; part = 0.0; slow_ms = 30.0; from = ["n*"]; to = ["c*"]`,
	)
	start := program(t)
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
		if part := completedPart(r); part < 0.7 || part > 0.999 || slow < 50 {
			t.Errorf("%d asked, %v, %d slow", len(r.Plan.Requests), countOutcomes(r), slow)
		}
	}
}

// Six processes that gossip, with some partitioned, datagrams lost, two with silent discovery, one paused and two killed at once:
// no rule is broken, quotas are kept, and in the end all have the same rows.
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
	r := playWithoutViolation(t, text, program(t))
	if completedPart(r) < 0.8 {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), countOutcomes(r))
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
			t.Errorf("n%d holds %q, behind %s at %v; n0 %q at %v", i, e.Note, e.MadeFor, e.At, last[0].Note, last[0].At)
		}
		sum += e.Figure
	}
	if paused != 2 || leastQuota > 0.05 { // those that were killed begin at a quarter of a sixth
		t.Errorf("%d pause events, least quota %.3f: the faults were not injected", paused, leastQuota)
	}
	if len(last) != 6 || sum < 0.8 { // what is leased out and not yet leased in is missing
		t.Errorf("%d proxies report %.3f of the limits together", len(last), sum)
	}
}

// Of three zones one vanishes with its proxies and returns empty, one is cut off, and one is slow and fails in part: the first two
// are left by all proxies outside, the third by none, all are returned to, and no rule is broken.
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
	r := playWithoutViolation(t, text, program(t))
	if len(r.ZoneFaults) != 3 || r.FalseVerdicts > 0 {
		t.Fatalf("%+v; %d verdicts that no fault explains", r.ZoneFaults, r.FalseVerdicts)
	}
	for i, z := range r.ZoneFaults {
		left := z.NeverLeft == 0 && z.LastLeft < 3*time.Second && z.Returned > 0
		if left != (i < 2) {
			t.Errorf("%+v", z)
		}
	}
	if completedPart(r) < 0.9 {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), countOutcomes(r))
	}
}

// No proxy passes by a zone whose only node answers too late, as in a burst, for it is there. A zone that is cut off, so that no
// connection comes up, is passed by.
func TestZoneBusy(t *testing.T) {
	t.Parallel()
	text := withFaults(
		scenarioWith(`"plain"`, `"busy"`, "length_s = 2.0", "length_s = 10.0", `zones = ["a", "b"]`, `zones = ["a", "b", "c"]`,
			"rate = 150.0", "rate = 90.0", "proxies = 2", "proxies = 3\nzones = { judged = \"alone\" }"),
		`kind = "zone-grey"; at_s = 0.5; for_s = 3.0; zone = "a"; times = 500.0`,
		`kind = "zone-cut"; at_s = 4.5; for_s = 4.0; zone = "b"`,
	)
	r := playWithoutViolation(t, text, program(t))
	if r.FalsePositives > 0 || len(r.ZoneFaults) != 2 {
		t.Fatalf("%+v; %d passed by that no fault explains", r.ZoneFaults, r.FalsePositives)
	}
	if busy, cut := r.ZoneFaults[0], r.ZoneFaults[1]; busy.FirstLeft > 0 || cut.FirstLeft == 0 {
		t.Errorf("busy: %+v; cut off: %+v", busy, cut)
	}
}

// A discovery watch that falls silent is replaced, and what it misses counts as delivered six seconds later; an agent may have a
// change before its proxy starts. A proxy whose discovery delivers nothing at all breaks the rule, which shows that it is checked.
func TestListClock(t *testing.T) {
	t.Parallel()
	const replaced = `kind = "replace"; at_s = 0.8; for_s = 0.1; nodes = 1; leave_ms = 9500.0`
	for _, c := range []struct {
		name   string
		faults []string
		broken bool
	}{
		{"hush", []string{`kind = "hush"; at_s = 0.5; for_s = 0.0`, replaced}, false},
		{"deaf", []string{`kind = "deaf"; at_s = 0.5; for_s = 9.0`, replaced}, true},
		{"agent-ahead", []string{`kind = "agent-ahead"; at_s = 1.0; for_s = 3.0; nodes = 1`}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			text := withFaults(strings.Replace(calmScenario, "length_s = 2.0", "length_s = 10.0", 1), c.faults...)
			got := countViolations(play(t, text, program(t)))
			if broken := got[emulator.DrainRule] > 0; broken != c.broken || len(got) > 1 {
				t.Errorf("%v", got)
			}
		})
	}
}

// Processes that share duties, with watch leaders killed, partitioned and silenced while nodes are replaced, and a silent node: all
// rules are kept, and fewer watches are open than where each proxy watches for itself.
func TestTurns(t *testing.T) {
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
	r, alone := playBoth(t, text, "on = true", "on = false")
	if completedPart(r) < 0.85 {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), countOutcomes(r))
	}
	if r.BackgroundLoad.MeanOpenWatches > 0.75*alone.BackgroundLoad.MeanOpenWatches || alone.BackgroundLoad.MeanOpenWatches < 6 || r.BackgroundLoad.MeanOpenWatches < 1 {
		t.Errorf("watches open at a time: %.1f, and %.1f where each watches", r.BackgroundLoad.MeanOpenWatches, alone.BackgroundLoad.MeanOpenWatches)
	}
	t.Logf("with shared duties %+v, each for itself %+v", r.BackgroundLoad, alone.BackgroundLoad)
}

// Processes with a negative cache, with some partitioned, datagrams lost, one paused, one killed and one restarted while keys are
// written: none is reported missing for longer after that than allowed, and the origin is spared look-ups.
func TestMissing(t *testing.T) {
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
	r := playWithoutViolation(t, text, program(t))
	if completedPart(r) < 0.85 {
		t.Errorf("%d asked, %v", len(r.Plan.Requests), countOutcomes(r))
	}
	if r.AbsentRepliesPerSecond < 20 || r.AbsentLookupsPerSecond > 0.95*r.AbsentRepliesPerSecond {
		t.Errorf("clients hear of %.1f missing keys a second, the origin is asked for %.1f", r.AbsentRepliesPerSecond, r.AbsentLookupsPerSecond)
	}
	t.Logf("%.1f said, %.1f asked, %v after the write at most", r.AbsentRepliesPerSecond, r.AbsentLookupsPerSecond, r.MaxAbsentStaleness)
}

// Four of six proxies are killed while discovery refuses most watches. With their state files they serve as before; without they
// have no endpoint list.
func TestComesBack(t *testing.T) {
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
