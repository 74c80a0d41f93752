package main

import (
	"context"
	"errors"
	"fmt"

	"woodproxy/internal/emulator"
	"woodproxy/internal/experiment"
)

// errInvariantViolated fails a run in which the emulator saw a violation of one of its invariants.
var errInvariantViolated = errors.New("a rule was broken")

// playCommand runs one scenario, prints its metrics and checks the invariants.
type playCommand struct {
	Day     string   `arg:"" help:"The day's file."`
	Seed    uint64   `default:"1" help:"Who asks what when, and which trouble hits whom."`
	Program []string `default:"bin/woodproxy,serve" help:"The proxy, with its words."`
	Dir     string   `default:"found/day" help:"Where configurations and logs are kept; it must not exist or be empty."`
}

// Run returns errInvariantViolated after the violations are printed.
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
