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

// Verdict is what came of a scenario.
type Verdict int

// Verdicts.
const (
	Clean    Verdict = iota
	Violated         // an invariant was broken
	Late             // the machine had no time for the load, so that nothing is shown
	Idle             // a drawn fault did nothing
)

var verdictNames = [...]string{"clean", "violated", "late", "idle"}

// maxLatePart is the part of a scenario's time that may lie near late moments of the machine where it has a verdict.
const maxLatePart = 0.5

// String returns the verdict in tables.
func (v Verdict) String() string { return verdictNames[v] }

// maxReplays bounds how often a violation is played again to find the fewest faults that show it.
const maxReplays = 14

// Soak plays scenarios.
type Soak struct {
	Program string // the proxy, built with faults
	Dir     string // for files and logs; those of clean scenarios are removed, unless they are kept
	Keep    bool
	Out     io.Writer
}

// BuildProxy builds the proxy with faults, and a mistake where plant is not nil, and returns the program.
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

// Outcome is what came of one scenario.
type Outcome struct {
	Seed       uint64
	Scenario   *emulator.Scenario
	Verdict    Verdict
	Violations []emulator.Violation // but for those near late moments of the machine
	IdleFaults []string             // kinds that were drawn and did nothing
	LatePart   float64              // of the time, near late moments
	Requests   int
	Took       time.Duration
}

// Rules returns the rules that were broken, each once, in order of name.
func (o *Outcome) Rules() []emulator.Rule {
	var rules []emulator.Rule
	for i := range o.Violations {
		rules = append(rules, o.Violations[i].Rule)
	}
	slices.Sort(rules)
	return slices.Compact(rules)
}

// Play plays a scenario once.
func (s *Soak) Play(ctx context.Context, scenario *emulator.Scenario, seed uint64) (*Outcome, error) {
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
	outcome := &Outcome{Seed: seed, Scenario: scenario, Requests: len(plan.Requests), Took: time.Since(began)}
	var notReady *emulator.StartError
	switch {
	case errors.As(err, &notReady):
		outcome.Verdict = Violated
		outcome.Violations = []emulator.Violation{{Rule: notReady.Rule, Text: notReady.Error()}}
		return outcome, nil
	case err != nil:
		return nil, err
	}
	outcome.Violations, outcome.IdleFaults, outcome.LatePart = report.Unexcused(), report.IdleFaults(), report.LateFraction()
	switch {
	case len(outcome.Violations) > 0:
		outcome.Verdict = Violated
	case outcome.LatePart > maxLatePart:
		outcome.Verdict = Late
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

// Shrink plays a scenario that broke rules with one fault less, again and again, and returns the one with the fewest
// faults that still breaks one of the rules.
func (s *Soak) Shrink(ctx context.Context, found *Outcome) *emulator.Scenario {
	rules, fewest, replays := found.Rules(), found.Scenario, 0
	for i := len(fewest.Faults) - 1; i >= 0 && replays < maxReplays; i-- {
		fewer := *fewest
		fewer.Faults = slices.Delete(slices.Clone(fewest.Faults), i, i+1)
		replays++
		outcome, err := s.Play(ctx, &fewer, found.Seed)
		if err != nil {
			return fewest
		}
		if outcome.Verdict == Violated && slices.ContainsFunc(outcome.Rules(), func(r emulator.Rule) bool { return slices.Contains(rules, r) }) {
			fewest = &fewer
		}
	}
	return fewest
}

// Describe prints what came of a scenario: one line, and the violations with their events.
func (s *Soak) Describe(o *Outcome) {
	var kinds []string
	for _, fault := range o.Scenario.Faults {
		kinds = append(kinds, fault.Kind)
	}
	_, _ = fmt.Fprintf(s.Out, "%d\t%v\t%d servers\t%d requests\t%.1f s, %.0f%% of it late\t%s\n",
		o.Seed, o.Verdict, o.Scenario.Fleet.Nodes, o.Requests, o.Took.Seconds(), 100*o.LatePart, strings.Join(kinds, " "))
	for _, kind := range o.IdleFaults {
		_, _ = fmt.Fprintf(s.Out, "  %s did nothing\n", kind)
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

// WriteSchedule writes a scenario with its faults, by which it can be played again.
func WriteSchedule(path string, scenario *emulator.Scenario) error {
	text, err := toml.Marshal(scenario)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
