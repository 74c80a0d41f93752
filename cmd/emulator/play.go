package main

import (
	"context"
	"errors"
	"fmt"

	"woodproxy/internal/emulator"
	"woodproxy/internal/experiment"
)

// errInvariantViolated is returned after a run that violated an invariant.
var errInvariantViolated = errors.New("an invariant was violated")

// playCommand runs one scenario, prints its metrics and checks its invariants.
type playCommand struct {
	Day     string   `arg:"" help:"The scenario file."`
	Seed    uint64   `default:"1" help:"Seed of the request schedule and of the targets of faults."`
	Program []string `default:"bin/woodproxy,serve" help:"The command that starts the proxy, with its arguments."`
	Dir     string   `default:"found/day" help:"Directory for configurations and logs; it must be empty or not exist."`
}

// Run prints the metrics and the violations, and returns errInvariantViolated if there are any.
func (c *playCommand) Run(ctx context.Context) error {
	scenario, err := emulator.ReadScenario(c.Day)
	if err != nil {
		return err
	}
	if err := experiment.CreateEmptyDir(c.Dir); err != nil {
		return err
	}
	options := emulator.Options{Start: emulator.StartProgram(c.Program...), Dir: c.Dir}
	report, err := emulator.Run(ctx, scenario.NewPlan(c.Seed), options)
	if err != nil {
		return err
	}
	fmt.Print(experiment.Describe(report))
	for _, violation := range report.Violations {
		fmt.Println(violation)
	}
	if len(report.Violations) > 0 {
		return errInvariantViolated
	}
	return nil
}
