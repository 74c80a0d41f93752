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

// soakCommand runs drawn scenarios and checks their invariants.
type soakCommand struct {
	Seed       uint64   `default:"1" help:"The first seed."`
	Seeds      int      `default:"1" help:"Number of seeds to run, one after the other."`
	Seconds    float64  `default:"8" help:"Length of each scenario in seconds."`
	Proxies    int      `default:"24" help:"Number of proxy processes."`
	Faults     []string `help:"Kinds of faults to draw; all by default."`
	Large      bool     `default:"true" negatable:"" help:"Draw fleets of thousands of servers as well."`
	Plant      string   `help:"A bug to build into the proxy, to test that a check finds it."`
	ListPlants bool     `help:"List the bugs that --plant accepts and exit."`
	Schedule   string   `help:"Run this scenario file, as written after a violation, instead of drawn scenarios."`
	Module     string   `default:"." help:"Root directory of the module from which the proxy is built." type:"existingdir"`
	Dir        string   `default:"found/soak" help:"Directory for logs; it must be empty or not exist."`
	Keep       bool     `help:"Keep the logs of clean scenarios too."`
	Shrink     bool     `default:"true" negatable:"" help:"Search for the fewest faults that cause a violation."`
}

// usageError is an error in flags or files.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

// errMachineOverloaded is returned if the machine was overloaded during a scenario, which therefore has no verdict.
var errMachineOverloaded = errors.New("the machine was overloaded in some scenario: no verdict")

// errFaultIdle is returned if a drawn fault had no effect in a scenario, which therefore tested less than its schedule
// states.
var errFaultIdle = errors.New("a drawn fault had no effect in some scenario")

// Limits of flags. A scenario with 64 proxies uses far fewer than 300 processes.
const (
	maxSoakProxies = 64
	minSoakSeconds = 4
	maxSoakSeconds = 600
)

// Run returns errInvariantViolated after a violation, otherwise errFaultIdle if a fault had no effect, and otherwise
// errMachineOverloaded if a scenario has no verdict.
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

// check validates the flags and returns the plant to build in, or nil if there is none.
func (c *soakCommand) check() (*soak.Plant, error) {
	switch {
	case c.Seeds < 1:
		return nil, fmt.Errorf("--seeds: %d: want 1 or more", c.Seeds)
	case c.Proxies < 1 || c.Proxies > maxSoakProxies:
		return nil, fmt.Errorf("--proxies: %d: want 1 to %d", c.Proxies, maxSoakProxies)
	case !(c.Seconds >= minSoakSeconds && c.Seconds <= maxSoakSeconds):
		return nil, fmt.Errorf("--seconds: %v: want %d to %d", c.Seconds, minSoakSeconds, maxSoakSeconds)
	}
	for _, kind := range c.Faults {
		if !slices.Contains(soak.Kinds(), kind) {
			return nil, fmt.Errorf("--faults: %q: want one of %s", kind, strings.Join(soak.Kinds(), ", "))
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

// runAll runs the scenario of each seed, or the scenario file of --schedule with each seed, and returns the worst verdict as
// an error. It stops as soon as the plant is found.
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
				break // the plant was found
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

// saveSchedule writes the scenario of a violation to a file, with --shrink reduced to the fewest faults, and prints the
// command that runs it again.
func (c *soakCommand) saveSchedule(ctx context.Context, runner *soak.Soak, outcome *soak.Outcome) {
	scenario := outcome.Scenario
	if c.Shrink && c.Plant == "" {
		scenario = runner.Shrink(ctx, outcome)
	}
	file := filepath.Join(c.Dir, fmt.Sprintf("seed%d.toml", outcome.Seed))
	if err := soak.WriteSchedule(file, scenario); err != nil {
		fmt.Printf("  can't write the schedule: %v\n", err)
		return
	}
	fmt.Printf("  %d of %d faults remain; run again with: emulator soak --seed %d --schedule %s\n",
		len(scenario.Faults), len(outcome.Scenario.Faults), outcome.Seed, file)
}
