package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"strings"

	"woodproxy/internal/emulator"
)

// maxAttempts is the maximum number of attempts at a run in which the load generator falls behind its schedule.
const maxAttempts = 2

// Run is one run of a scenario by a variant.
type Run struct {
	Scenario, Variant int // indexes into the scenario files and the variants of the experiment
	Seed              uint64
	Round             int // from 0
}

// Schedule returns all runs in the order in which they are made: round by round, and shuffled within each round, so that a
// drift of the machine's speed affects all variants alike. The order is the same at each call.
func (e *Experiment) Schedule() []Run {
	var schedule []Run
	random := rand.New(rand.NewPCG(1, uint64(len(e.Variants))))
	for round := range e.Rounds {
		var runs []Run
		for scenario := range e.ScenarioFiles {
			for variant := range e.Variants {
				for _, seed := range e.Seeds {
					runs = append(runs, Run{Scenario: scenario, Variant: variant, Seed: seed, Round: round})
				}
			}
		}
		random.Shuffle(len(runs), func(i, j int) { runs[i], runs[j] = runs[j], runs[i] })
		schedule = append(schedule, runs...)
	}
	return schedule
}

// Run makes all runs one after the other and returns their table. Each attempt writes its files to a directory of its
// own in dir. After each run, Run calls progress with one line about it. It returns an error at the first run that fails
// or when the context ends.
func (e *Experiment) Run(ctx context.Context, dir string, progress func(line string)) (*Table, error) {
	table := &Table{Properties: e.properties()}
	schedule := e.Schedule()
	for i, run := range schedule {
		report, err := e.attempt(ctx, run, filepath.Join(dir, fmt.Sprintf("%03d", i)))
		if err != nil {
			return nil, err
		}
		summary := Summarize(report)
		row := Row{
			Scenario: e.scenarios[run.Scenario].Name,
			Variant:  e.Variants[run.Variant].Name,
			Seed:     run.Seed,
			Round:    run.Round,
			Valid:    report.OnTime,
			Metrics:  summary.metrics(),
		}
		table.Rows = append(table.Rows, row)
		progress(fmt.Sprintf("%d of %d: %s, %s, seed %d: value %.4f, p99 %.1f ms, %d violations, valid %v",
			i+1, len(schedule), row.Scenario, row.Variant, row.Seed, summary.ValueEarned, summary.LatencyMS.P99,
			summary.Violations, row.Valid))
	}
	return table, nil
}

// attempt makes one run, and repeats it once if the load generator fell behind its schedule, since the report then
// measures the machine instead of the proxy.
func (e *Experiment) attempt(ctx context.Context, run Run, dirPrefix string) (*emulator.Report, error) {
	variant := e.Variants[run.Variant]
	program := variant.Program
	if len(program) == 0 {
		program = []string{"bin/woodproxy", "serve"}
	}
	var report *emulator.Report
	for attempt := range maxAttempts {
		dir := fmt.Sprintf("%s-%d-%s", dirPrefix, attempt, variant.Name)
		if err := CreateEmptyDir(dir); err != nil {
			return nil, err
		}
		plan := variant.apply(e.scenarios[run.Scenario]).NewPlan(run.Seed)
		options := emulator.Options{Start: emulator.StartProgram(program...), Dir: dir, Overrides: variant.Settings}
		var err error
		if report, err = emulator.Run(ctx, plan, options); err != nil {
			return nil, err
		}
		if report.OnTime {
			break
		}
	}
	return report, nil
}

// properties returns the conditions under which the table is made.
func (e *Experiment) properties() []string {
	var names []string
	for _, v := range e.Variants {
		names = append(names, v.Name)
	}
	return []string{
		"experiment=" + e.Name,
		fmt.Sprintf("cores=%d", runtime.NumCPU()),
		variantsProperty + strings.Join(names, variantSeparator),
		buildCommit(),
	}
}
