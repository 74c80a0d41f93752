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

// The same seed draws the same scenario, others others, and each is one that the emulator plays and that its file gives
// back.
func TestDrawIsReproducible(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(300) {
		options := soak.DrawOptions{Proxies: 24, Seconds: 8}
		scenario := soak.Draw(seed, options)
		if err := scenario.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(scenario, soak.Draw(seed, options)) || reflect.DeepEqual(scenario, soak.Draw(seed+1, options)) {
			t.Fatalf("seed %d: not drawn by the seed alone", seed)
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
			t.Fatalf("seed %d: read back as another", seed)
		}
	}
	for _, kind := range soak.Kinds() {
		if !kinds[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}

// scenarioText returns a scenario's file, in which an empty list and none are the same.
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

// At any time between the first fault and the end of the last two or three overlap, on the average.
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
		t.Errorf("%.2f faults overlap in the mean", mean)
	}
}

// Only the kinds that are asked for are drawn.
func TestDrawTakesKinds(t *testing.T) {
	want := []string{"clock-step", "restart"}
	for seed := range uint64(20) {
		for _, fault := range soak.Draw(seed, soak.DrawOptions{Proxies: 3, Seconds: 5, Kinds: want}).Faults {
			if !slices.Contains(want, fault.Kind) {
				t.Fatalf("%s is drawn", fault.Kind)
			}
		}
	}
}

// newSoak builds a proxy, with a mistake where plant is not nil.
func newSoak(t *testing.T, plant *soak.Plant) *soak.Soak {
	t.Helper()
	dir := t.TempDir()
	program, err := soak.BuildProxy(context.Background(), moduleRoot, dir, plant)
	if err != nil {
		t.Fatal(err)
	}
	return &soak.Soak{Program: program, Dir: dir, Out: &bytes.Buffer{}}
}

// largeSeed draws a fleet of 3,200 servers.
const largeSeed = 14

// Four fixed seeds, one of them with 3,200 servers, keep all rules. A machine that has no time for one shows nothing.
func TestFixedSeedsAreClean(t *testing.T) {
	player := newSoak(t, nil)
	for _, seed := range []uint64{1, 5, 8, largeSeed} {
		scenario := soak.Draw(seed, soak.DrawOptions{Proxies: 6, Seconds: 5, Large: seed == largeSeed})
		outcome, err := player.Run(t.Context(), scenario, seed)
		if err != nil {
			t.Fatal(err)
		}
		switch outcome.Verdict {
		case soak.Violated:
			t.Errorf("seed %d: %v", seed, outcome.Violations)
		case soak.Overloaded:
			t.Logf("seed %d: the machine had no time for the load: no verdict", seed)
		case soak.Idle:
			t.Errorf("seed %d: %v did nothing", seed, outcome.IdleFaults)
		}
	}
}

// Mistakes that are planted in the proxy are found: here one that upstreams see, one that clients see, and those of the
// rules on what a process uses, on a process that hangs, and on commands that no client has sent. emulator soak --plant
// plays the others.
func TestPlantsAreFound(t *testing.T) {
	for _, name := range []string{"told-deadline", "other-value", "memory", "descriptors", "hung", "invented"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plant := soak.FindPlant(name)
			player := newSoak(t, plant)
			scenario := soak.Draw(1, soak.DrawOptions{Proxies: 3, Seconds: 4, Kinds: []string{"restart"}})
			if plant.Scenario != nil {
				plant.Scenario(scenario)
			}
			outcome, err := player.Run(t.Context(), scenario, 1)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(outcome.Rules(), plant.Rule) {
				t.Errorf("%v, and %q is planted", outcome.Rules(), plant.Rule)
			}
		})
	}
}

// Each rule that the soak judges by has a plant, and each plant's patches match the sources.
func TestPlantsMatchSources(t *testing.T) {
	for i := range soak.Plants {
		plant := &soak.Plants[i]
		if err := soak.CheckPlant(moduleRoot, plant); err != nil {
			t.Errorf("%s: %v", plant.Name, err)
		}
	}
}
