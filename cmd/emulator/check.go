package main

import (
	"context"
	"fmt"

	"woodproxy/internal/emulator"
	"woodproxy/internal/experiment"
)

// checkCommand checks scenario and experiment files without running them.
type checkCommand struct {
	Files []string `arg:"" help:"Scenario or experiment files."`
}

// Run prints one line for each valid file and returns the error of the first invalid one.
func (c *checkCommand) Run(context.Context) error {
	for _, file := range c.Files {
		check := checkScenario
		if experiment.IsExperiment(file) {
			check = checkExperiment
		}
		if err := check(file); err != nil {
			return err
		}
	}
	return nil
}

func checkExperiment(file string) error {
	e, err := experiment.Read(file)
	if err != nil {
		return err
	}
	fmt.Printf("%s: good; %d runs\n", file, len(e.Schedule()))
	return nil
}

func checkScenario(file string) error {
	scenario, err := emulator.ReadScenario(file)
	if err != nil {
		return err
	}
	fmt.Printf("%s: good; %d requests with seed 1\n", file, len(scenario.NewPlan(1).Requests))
	return nil
}
