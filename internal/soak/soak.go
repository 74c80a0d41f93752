package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/faultbuild"

	"github.com/pelletier/go-toml/v2"
)

// Verdict is the result of running a scenario.
type Verdict int

// Verdicts.
const (
	Clean      Verdict = iota
	Violated           // an invariant was violated
	Overloaded         // the machine was overloaded, so that the run proves nothing
	Idle               // a drawn fault had no effect
)

var verdictNames = [...]string{"clean", "violated", "late", "idle"}

// maxOverloadedFraction is the maximum fraction of a scenario's time during which the machine may be overloaded. A scenario
// above it that shows no violation gets the verdict Overloaded.
const maxOverloadedFraction = 0.5

// String returns the name of the verdict as it is printed.
func (v Verdict) String() string { return verdictNames[v] }

// maxShrinkRuns is the maximum number of runs in which Shrink searches for the fewest faults that cause a violation.
const maxShrinkRuns = 14

// Soak runs scenarios and judges them.
type Soak struct {
	Program string    // path of the proxy, which is built with fault injection
	Dir     string    // directory for configurations and logs
	Keep    bool      // keep the files of clean scenarios, which are otherwise removed
	Out     io.Writer // for Describe
}

// BuildProxy builds the proxy with fault injection, and with the bug of plant unless plant is nil. It returns the path of
// the program.
func BuildProxy(ctx context.Context, module, dir string, plant *Plant) (string, error) {
	patched := filepath.Join(dir, "patched")
	if err := os.MkdirAll(patched, 0o700); err != nil {
		return "", err
	}
	options := faultbuild.Options{
		Module: module, Package: "./cmd/woodproxy", Output: filepath.Join(dir, "woodproxy"), Dir: patched, Faults: true,
	}
	if plant != nil {
		options.Patches = plant.Patches
	}
	return options.Output, faultbuild.Build(ctx, options)
}

// Outcome is the result of one run of a scenario.
type Outcome struct {
	Seed               uint64
	Scenario           *emulator.Scenario
	Verdict            Verdict
	Violations         []emulator.Violation // without those that an overloaded machine may explain
	IdleFaults         []string             // kinds of drawn faults that had no effect
	OverloadedFraction float64              // fraction of the time during which the machine was overloaded
	Requests           int
	Elapsed            time.Duration
}

// Rules returns the rules that were violated, sorted and without duplicates.
func (o *Outcome) Rules() []emulator.Rule {
	var rules []emulator.Rule
	for i := range o.Violations {
		rules = append(rules, o.Violations[i].Rule)
	}
	slices.Sort(rules)
	return slices.Compact(rules)
}

// Run runs a scenario once, in a directory that it first empties. It returns an error if the scenario can't be run; a
// proxy that does not become ready is a violation.
func (s *Soak) Run(ctx context.Context, scenario *emulator.Scenario, seed uint64) (*Outcome, error) {
	dir := filepath.Join(s.Dir, fmt.Sprint("seed", seed))
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	began := time.Now()
	plan := scenario.NewPlan(seed)
	options := emulator.Options{Start: emulator.StartProgram(s.Program, "serve"), Dir: dir, FaultPages: true}
	report, err := emulator.Run(ctx, plan, options)
	outcome := &Outcome{Seed: seed, Scenario: scenario, Requests: len(plan.Requests), Elapsed: time.Since(began)}
	var notReady *emulator.StartError
	switch {
	case errors.As(err, &notReady):
		outcome.Verdict = Violated
		outcome.Violations = []emulator.Violation{{Rule: notReady.Rule, Text: notReady.Error()}}
		return outcome, nil
	case err != nil:
		return nil, err
	}
	outcome.Violations, outcome.IdleFaults, outcome.OverloadedFraction = report.Unexcused(), report.IdleFaults(), report.LateFraction()
	switch {
	case len(outcome.Violations) > 0:
		outcome.Verdict = Violated
	case outcome.OverloadedFraction > maxOverloadedFraction:
		outcome.Verdict = Overloaded
	case len(outcome.IdleFaults) > 0:
		outcome.Verdict = Idle
	default:
		outcome.Verdict = Clean
		if !s.Keep {
			err = os.RemoveAll(dir)
		}
	}
	return outcome, err
}

// Shrink runs a violating scenario repeatedly with one fault fewer, and returns the one with the fewest faults that still
// violates one of the same rules. It stops after maxShrinkRuns runs or at the first run that fails.
func (s *Soak) Shrink(ctx context.Context, found *Outcome) *emulator.Scenario {
	rules, fewest, runs := found.Rules(), found.Scenario, 0
	for i := len(fewest.Faults) - 1; i >= 0 && runs < maxShrinkRuns; i-- {
		fewer := *fewest
		fewer.Faults = slices.Delete(slices.Clone(fewest.Faults), i, i+1)
		runs++
		outcome, err := s.Run(ctx, &fewer, found.Seed)
		if err != nil {
			return fewest
		}
		if outcome.Verdict == Violated && slices.ContainsFunc(outcome.Rules(), func(r emulator.Rule) bool { return slices.Contains(rules, r) }) {
			fewest = &fewer
		}
	}
	return fewest
}

// Describe prints the outcome of a scenario: one line, the faults without effect, and the first violations.
func (s *Soak) Describe(o *Outcome) {
	var kinds []string
	for _, fault := range o.Scenario.Faults {
		kinds = append(kinds, fault.Kind)
	}
	_, _ = fmt.Fprintf(s.Out, "%d\t%v\t%d servers\t%d requests\t%.1f s, machine overloaded for %.0f%%\t%s\n",
		o.Seed, o.Verdict, o.Scenario.Fleet.Nodes, o.Requests, o.Elapsed.Seconds(), 100*o.OverloadedFraction, strings.Join(kinds, " "))
	for _, kind := range o.IdleFaults {
		_, _ = fmt.Fprintf(s.Out, "  %s had no effect\n", kind)
	}

	const maxPrinted = 5
	for i := range o.Violations {
		if i == maxPrinted {
			_, _ = fmt.Fprintf(s.Out, "  and %d more\n", len(o.Violations)-maxPrinted)
			break
		}
		_, _ = fmt.Fprintf(s.Out, "  %v\n", o.Violations[i])
	}
}

// WriteSchedule writes a scenario with its faults to a TOML file from which it can be run again.
func WriteSchedule(path string, scenario *emulator.Scenario) error {
	text, err := toml.Marshal(scenario)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
