package emulator_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// A scenario without faults, one with many simultaneous faults, and the latter with hedging violate no invariant, and clients
// are served.
func TestDays(t *testing.T) {
	t.Parallel()
	faulty := withFaults(
		scenarioWith(`"plain"`, `"trouble"`, "length_s = 2.0", "length_s = 4.0", "rate = 150.0", "rate = 150.0, impatient = 0.02"),
		`kind = "silent"; at_s = 0.5; for_s = 1.0; nodes = 1`,
		`kind = "replace"; at_s = 1.0; for_s = 0.5; nodes = 1; leave_ms = 600.0`,
		`kind = "reset"; at_s = 0.5; for_s = 2.0; nodes = 1; part = 0.2`,
		`kind = "garbled"; at_s = 1.0; for_s = 1.0; nodes = 1; part = 0.2`,
		`kind = "halves"; at_s = 2.5; for_s = 1.0; nodes = 1; part = 0.2`,
		`kind = "failing"; at_s = 1.5; for_s = 0.5; nodes = 1; part = 0.5`,
		`kind = "slow"; at_s = 2.0; for_s = 1.0; nodes = 1; times = 5.0`,
		`kind = "cold"; at_s = 2.5; for_s = 0.0; nodes = 1`,
		`kind = "stale"; at_s = 2.0; for_s = 0.5`,
		`kind = "deaf"; at_s = 3.0; for_s = 0.5`,
		`kind = "origin-slow"; at_s = 0.5; for_s = 1.0; times = 3.0`,
		`kind = "restart"; at_s = 1.0; for_s = 0.0; nodes = 1`,
		`kind = "bad-clients"; at_s = 0.5; for_s = 0.7; rate = 10.0`,
		`kind = "slow-clients"; at_s = 0.5; for_s = 2.0; nodes = 3`,
	)
	hedged := strings.NewReplacer(`"trouble"`, `"copies"`, "proxies = 2", "proxies = 2\nlimits = { parallel = true }").Replace(faulty)
	for text, least := range map[string]float64{calmScenario: 0.97, faulty: 0.5, hedged: 0.5} {
		t.Run(parseScenario(t, text).Name, func(t *testing.T) {
			t.Parallel()
			r := playWithoutViolation(t, text, startInProcess)
			outcomes := countOutcomes(r)
			if len(r.Results) != len(r.Plan.Requests) || completedFraction(r) < least || outcomes[emulator.Unanswered] > 0 || r.UnansweredMalformed > 0 {
				t.Errorf("%d requests: %v; %d malformed requests without a reply", len(r.Plan.Requests), outcomes, r.UnansweredMalformed)
			}
		})
	}
}

// A process that ends unexpectedly violates the crash invariant and its log is kept. A process that can't start ends the run
// with an error.
func TestCrashIsReported(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	crashing := func(config emulator.ProxyConfig) (emulator.Proxy, error) {
		p, err := startInProcess(config)
		if err != nil {
			return nil, err
		}
		script, err := emulator.StartProgram("/bin/sh", "-c", "echo it dies; sleep 0.5; exit 3")(config)
		if err == nil {
			go func() { // stop serving once the script, which simulates the crash, has ended
				awaitEnd(script)
				p.Signal(syscall.SIGTERM)
			}()
		}
		return p, err
	}
	plan := parseScenario(t, strings.Replace(calmScenario, "proxies = 2", "proxies = 1", 1)).NewPlan(1)
	r, err := emulator.Run(t.Context(), plan, emulator.Options{Dir: dir, Start: crashing})
	if err != nil {
		t.Fatal(err)
	}
	if countViolations(r)[emulator.CrashRule] != 1 {
		t.Error(countViolations(r))
	}
	if text, err := os.ReadFile(filepath.Join(dir, "proxy0", "log")); err != nil || string(text) != "it dies\n" {
		t.Errorf("log %q: %v", text, err)
	}
	failing := emulator.Options{Dir: t.TempDir(), Start: emulator.StartProgram("/bin/false")}
	_, err = emulator.Run(t.Context(), parseScenario(t, calmScenario).NewPlan(1), failing)
	if err == nil || !strings.Contains(err.Error(), "ended at its start") {
		t.Error(err)
	}
}

// A run whose context is canceled ends promptly, stops its proxies and removes its files.
func TestCanceledRunLeavesNoProcessAndNoFile(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	var alive atomic.Int64
	counted := func(config emulator.ProxyConfig) (emulator.Proxy, error) {
		p, err := startInProcess(config)
		if err == nil {
			alive.Add(1)
			go func() {
				awaitEnd(p)
				alive.Add(-1)
			}()
		}
		return p, err
	}
	dir := filepath.Join(t.TempDir(), "day")
	began := time.Now()
	time.AfterFunc(time.Second, cancel)
	plan := parseScenario(t, strings.Replace(calmScenario, "length_s = 2.0", "length_s = 60.0", 1)).NewPlan(1)
	_, err := emulator.Run(ctx, plan, emulator.Options{Dir: dir, Start: counted})
	if !errors.Is(err, context.Canceled) || time.Since(began) > 8*time.Second {
		t.Errorf("got error %v after %v, want cancellation within 8 s", err, time.Since(began))
	}
	if _, err := os.Stat(dir); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("files are left: %v", err)
	}
	for range 100 {
		if alive.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d proxies are still running", alive.Load())
}

// A scenario that needs more file descriptors than the limit permits is rejected before anything is started.
func TestTooFewDescriptorsStartNothing(t *testing.T) {
	scenario := parseScenario(t, strings.Replace(calmScenario, "rate = 150.0", "rate = 1.0, connections = 20000", 1))
	scenario.Proxies = 1 << 16
	dir := filepath.Join(t.TempDir(), "day")
	_, err := emulator.Run(t.Context(), scenario.NewPlan(1), emulator.Options{Dir: dir, Start: startInProcess})
	if err == nil || !strings.Contains(err.Error(), "load.connections") {
		t.Error(err)
	}
	if _, err := os.Stat(dir); err == nil {
		t.Error("the directory of the run was created")
	}
}

// If two faults kill and restart the same proxies, only one process of each proxy runs at a time, and none is left after the
// run.
func TestOverlappingKillsLeaveOneProcess(t *testing.T) {
	t.Parallel()
	var running [2]atomic.Int64
	counted := func(config emulator.ProxyConfig) (emulator.Proxy, error) {
		p, err := startInProcess(config)
		if err != nil {
			return nil, err
		}
		n := &running[config.Name[1]-'0']
		if n.Add(1) > 1 {
			t.Errorf("two processes of %s run at the same time", config.Name)
		}
		done := make(chan error, 1)
		go func() {
			done <- <-p.Done()
			n.Add(-1)
			close(done)
		}()
		return inProcessProxy{p.(inProcessProxy).signals, done}, nil
	}
	text := withFaults(
		strings.Replace(calmScenario, "length_s = 2.0", "length_s = 14.0", 1),
		`kind = "mass-kill"; at_s = 0.3; for_s = 0.5; nodes = 2; spread_s = 0.1`,
		`kind = "mass-kill"; at_s = 0.4; for_s = 0.5; nodes = 2; spread_s = 0.1`,
	)
	r := play(t, text, counted)
	if running[0].Load()+running[1].Load() > 0 || len(r.Results) == 0 {
		t.Errorf("%d and %d processes are left", running[0].Load(), running[1].Load())
	}
}
