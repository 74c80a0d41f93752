package soak_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"woodproxy/internal/emulator"
	"woodproxy/internal/soak"
)

const moduleRoot = "../.."

// The same seed draws the same scenario and another seed draws another. Each scenario is valid, and is read back
// unchanged from the file that it is written to.
func TestDrawIsReproducible(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(300) {
		options := soak.DrawOptions{Proxies: 24, Seconds: 8}
		scenario := soak.Draw(seed, options)
		if err := scenario.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(scenario, soak.Draw(seed, options)) || reflect.DeepEqual(scenario, soak.Draw(seed+1, options)) {
			t.Fatalf("seed %d: the same seed draws different scenarios, or the next seed the same", seed)
		}
		for _, fault := range scenario.Faults {
			kinds[fault.Kind] = true
		}
		if seed%20 > 0 {
			continue
		}
		file := filepath.Join(t.TempDir(), "schedule.toml")
		if err := soak.WriteSchedule(file, scenario); err != nil {
			t.Fatal(err)
		}
		read, err := emulator.ReadScenario(file)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if again, first := scenarioText(t, read), scenarioText(t, scenario); again != first {
			t.Fatalf("seed %d: the scenario that is read back differs from the one written", seed)
		}
	}
	for _, kind := range soak.Kinds() {
		if !kinds[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}

// scenarioText returns the file content of a scenario without its empty lists, since nil and empty lists are equivalent.
func scenarioText(t *testing.T, scenario *emulator.Scenario) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "text.toml")
	if err := soak.WriteSchedule(file, scenario); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("from = []\n", "", "to = []\n", "", "steps = []\n", "", "zones = []\n", "").Replace(string(text))
}

// While faults are injected, 2 to 4.5 of them overlap on average.
func TestFaultsOverlap(t *testing.T) {
	overlapping, moments := 0, 0
	for seed := range uint64(100) {
		scenario := soak.Draw(seed, soak.DrawOptions{Proxies: 24, Seconds: 8})
		for at := 1.5; at < 6; at += 0.1 {
			moments++
			for _, fault := range scenario.Faults {
				if fault.AtS <= at && at < fault.AtS+fault.DurationS {
					overlapping++
				}
			}
		}
	}
	if mean := float64(overlapping) / float64(moments); mean < 2 || mean > 4.5 {
		t.Errorf("got a mean of %.2f overlapping faults, want 2 to 4.5", mean)
	}
}

// Only the requested kinds of faults are drawn.
func TestDrawTakesKinds(t *testing.T) {
	want := []string{"clock-step", "restart"}
	for seed := range uint64(20) {
		for _, fault := range soak.Draw(seed, soak.DrawOptions{Proxies: 3, Seconds: 5, Kinds: want}).Faults {
			if !slices.Contains(want, fault.Kind) {
				t.Fatalf("drew %s, want only the requested kinds", fault.Kind)
			}
		}
	}
}

// newSoak builds a proxy, with the bug of plant unless plant is nil.
func newSoak(t *testing.T, plant *soak.Plant) *soak.Soak {
	t.Helper()
	dir := t.TempDir()
	program, err := soak.BuildProxy(context.Background(), moduleRoot, dir, plant)
	if err != nil {
		t.Fatal(err)
	}
	return &soak.Soak{Program: program, Dir: dir, Out: &bytes.Buffer{}}
}

// largeSeed is a seed that draws a fleet of 3,200 servers.
const largeSeed = 14

// Four fixed seeds, one of them with 3,200 servers, violate no rule. A run on an overloaded machine has no verdict.
func TestFixedSeedsAreClean(t *testing.T) {
	runner := newSoak(t, nil)
	for _, seed := range []uint64{1, 5, 8, largeSeed} {
		scenario := soak.Draw(seed, soak.DrawOptions{Proxies: 6, Seconds: 5, Large: seed == largeSeed})
		outcome, err := runner.Run(t.Context(), scenario, seed)
		if err != nil {
			t.Fatal(err)
		}
		switch outcome.Verdict {
		case soak.Violated:
			t.Errorf("seed %d: %v", seed, outcome.Violations)
		case soak.Overloaded:
			t.Logf("seed %d: the machine was overloaded: no verdict", seed)
		case soak.Idle:
			t.Errorf("seed %d: faults without effect: %v", seed, outcome.IdleFaults)
		}
	}
}

// Bugs that are built into the proxy are found: one that upstreams observe, one that clients observe, and those for the
// rules on memory, on descriptors, on a process that hangs and on commands that no client has sent. The other plants are
// run with emulator soak --plant.
func TestPlantsAreFound(t *testing.T) {
	expectPlantsFound(t, "told-deadline", "other-value", "memory", "descriptors", "hung", "invented")
}

// Bugs that let a surplus response pass for that to another request are found: no rest between requests, no distrust, and a
// refusal that is believed on a used connection.
func TestSurplusPlantsAreFound(t *testing.T) {
	expectPlantsFound(t, "no-rest", "no-distrust", "refusal-believed")
}

// A reader that makes an empty value of a malformed response is found.
func TestMalformedResponsePlantIsFound(t *testing.T) {
	expectPlantsFound(t, "malformed-value")
}

// A balancer that rejects a request while its response is being sent is found.
func TestCutOffPlantIsFound(t *testing.T) {
	expectPlantsFound(t, "cut-off")
}

// expectPlantsFound runs a proxy with each plant and fails the test if the plant's rule is not violated.
func expectPlantsFound(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plant := soak.FindPlant(name)
			runner := newSoak(t, plant)
			scenario := soak.Draw(1, soak.DrawOptions{Proxies: 3, Seconds: 4, Kinds: []string{"restart"}})
			if plant.Scenario != nil {
				plant.Scenario(scenario)
			}
			outcome, err := runner.Run(t.Context(), scenario, 1)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(outcome.Rules(), plant.Rule) {
				t.Errorf("got violations of %v, want %q among them; the machine was overloaded for %.0f%% of the time",
					outcome.Rules(), plant.Rule, 100*outcome.OverloadedFraction)
			}
		})
	}
}

// The patches of each plant match the sources.
func TestPlantsMatchSources(t *testing.T) {
	for i := range soak.Plants {
		plant := &soak.Plants[i]
		if err := soak.CheckPlant(moduleRoot, plant); err != nil {
			t.Errorf("%s: %v", plant.Name, err)
		}
	}
}
