package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"woodproxy/internal/emulator"
	"woodproxy/internal/experiment"
	"woodproxy/internal/soak"
)

// soakCommand plays drawn scenarios and judges them by invariants.
type soakCommand struct {
	Seed       uint64   `default:"1" help:"The first seed."`
	Seeds      int      `default:"1" help:"How many seeds, one after the other."`
	Seconds    float64  `default:"8" help:"Length of each scenario."`
	Proxies    int      `default:"24" help:"Proxy processes."`
	Faults     []string `help:"Kinds of faults to draw from; all by default."`
	Large      bool     `default:"true" negatable:"" help:"Draw fleets of thousands of servers as well."`
	Plant      string   `help:"A mistake to build into the proxy, to see that it is found."`
	ListPlants bool     `help:"List the mistakes and end."`
	Schedule   string   `help:"Play this scenario file, as a find has written it, in place of drawn ones."`
	Module     string   `default:"." help:"Root of the program's sources, from which the proxy is built." type:"existingdir"`
	Dir        string   `default:"found/soak" help:"Where logs are kept; it must not exist or be empty."`
	Keep       bool     `help:"Keep the logs of clean scenarios too."`
	Shrink     bool     `default:"true" negatable:"" help:"Look for the fewest faults that show a violation."`
}

// usageError is a mistake in flags or files.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

// errMachineOverloaded ends a soak in which the machine had no time for some scenario, so that it has no verdict.
var errMachineOverloaded = errors.New("the load ran late in some scenario: no verdict")

// errFaultIdle ends a soak in which a drawn fault did nothing, so that a clean play shows less than it says.
var errFaultIdle = errors.New("a fault that was drawn did nothing in some scenario")

// Bounds of flags. A scenario of 64 proxies stays well below 300 processes.
const (
	maxSoakProxies = 64
	minSoakSeconds = 4
	maxSoakSeconds = 600
)

// Run returns errInvariantViolated after a violation, and else errMachineLate if some scenario has no verdict.
func (c *soakCommand) Run(ctx context.Context) error {
	if c.ListPlants {
		for _, plant := range soak.Plants {
			fmt.Printf("%s\t%s\n", plant.Name, plant.Rule)
		}
		return nil
	}
	plant, err := c.check()
	if err != nil {
		return usageError{err}
	}
	if err := experiment.CreateEmptyDir(c.Dir); err != nil {
		return usageError{err}
	}
	program, err := soak.BuildProxy(ctx, c.Module, c.Dir, plant)
	if err != nil {
		return err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return err
	}
	return c.runAll(ctx, &soak.Soak{Program: program, Dir: c.Dir, Keep: c.Keep, Out: os.Stdout}, plant)
}

// check checks the flags and returns the mistake that is to be planted, nil for none.
func (c *soakCommand) check() (*soak.Plant, error) {
	switch {
	case c.Seeds < 1:
		return nil, fmt.Errorf("--seeds: %d: not one or more", c.Seeds)
	case c.Proxies < 1 || c.Proxies > maxSoakProxies:
		return nil, fmt.Errorf("--proxies: %d: not from 1 to %d", c.Proxies, maxSoakProxies)
	case !(c.Seconds >= minSoakSeconds && c.Seconds <= maxSoakSeconds):
		return nil, fmt.Errorf("--seconds: %v: not from %d to %d", c.Seconds, minSoakSeconds, maxSoakSeconds)
	}
	for _, kind := range c.Faults {
		if !slices.Contains(soak.Kinds(), kind) {
			return nil, fmt.Errorf("--faults: %q: none of %s", kind, strings.Join(soak.Kinds(), ", "))
		}
	}
	if c.Plant == "" {
		return nil, nil
	}
	plant := soak.FindPlant(c.Plant)
	if plant == nil {
		return nil, fmt.Errorf("--plant: %q: not in the list of --list-plants", c.Plant)
	}
	if len(c.Faults) == 0 {
		c.Faults = plant.Kinds
	}
	return plant, nil
}

// runAll plays the schedule, or each seed, and returns the worst verdict as an error.
func (c *soakCommand) runAll(ctx context.Context, runner *soak.Soak, plant *soak.Plant) error {
	counts := map[soak.Verdict]int{}
	for i := range c.Seeds {
		seed := c.Seed + uint64(i)
		scenario, err := c.scenario(seed)
		if err != nil {
			return usageError{err}
		}
		if plant != nil && plant.Scenario != nil {
			plant.Scenario(scenario)
		}
		outcome, err := runner.Run(ctx, scenario, seed)
		if err != nil {
			return err
		}
		runner.Describe(outcome)
		counts[outcome.Verdict]++
		if outcome.Verdict == soak.Violated {
			c.saveSchedule(ctx, runner, outcome)
			if plant != nil && slices.Contains(outcome.Rules(), plant.Rule) {
				break // it was found
			}
		}
	}
	fmt.Printf("%d clean, %d violated, %d late, %d idle\n", counts[soak.Clean], counts[soak.Violated], counts[soak.Overloaded], counts[soak.Idle])
	switch {
	case counts[soak.Violated] > 0:
		return errInvariantViolated
	case counts[soak.Idle] > 0:
		return errFaultIdle
	case counts[soak.Overloaded] > 0:
		return errMachineOverloaded
	}
	return nil
}

func (c *soakCommand) scenario(seed uint64) (*emulator.Scenario, error) {
	if c.Schedule != "" {
		return emulator.ReadScenario(c.Schedule)
	}
	return soak.Draw(seed, soak.DrawOptions{Proxies: c.Proxies, Seconds: c.Seconds, Kinds: c.Faults, Large: c.Large && c.Plant == ""}), nil
}

// saveSchedule writes the schedule of a find, cut down to the fewest faults where that is asked for, and says how to play it.
func (c *soakCommand) saveSchedule(ctx context.Context, runner *soak.Soak, outcome *soak.Outcome) {
	scenario := outcome.Scenario
	if c.Shrink && c.Plant == "" {
		scenario = runner.Shrink(ctx, outcome)
	}
	file := filepath.Join(c.Dir, fmt.Sprintf("seed%d.toml", outcome.Seed))
	if err := soak.WriteSchedule(file, scenario); err != nil {
		fmt.Printf("  the schedule is not written: %v\n", err)
		return
	}
	fmt.Printf("  %d of %d faults are left; again: emulator soak --seed %d --schedule %s\n",
		len(scenario.Faults), len(outcome.Scenario.Faults), outcome.Seed, file)
}
