package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"woodproxy/internal/emulator"
	"woodproxy/internal/experiment"
)

// growthCommand runs a scenario as it is and with more servers of the same total capacity, and compares the resources that
// a proxy needs.
type growthCommand struct {
	Day     string   `arg:"" help:"The scenario file."`
	Servers int      `default:"3200" help:"Number of cache servers in the second run."`
	Seed    uint64   `default:"1" help:"Seed of the request schedule and of the targets of faults."`
	Program []string `default:"bin/woodproxy,serve" help:"The command that starts the proxy, with its arguments."`
	Dir     string   `default:"found/growth" help:"Directory for configurations and logs; it must be empty or not exist."`
}

// errGrowth is returned if a need of the second run exceeds its bound.
var errGrowth = errors.New("with more servers, a need of the proxy exceeds its bound")

// growthRow is one of a proxy's needs and its bound, as the operators' page states it: the need of the first run times
// factor, plus extra, plus perThousand for each thousand servers.
type growthRow struct {
	name        string
	value       func(n *emulator.ResourceUsage) float64
	factor      float64 // of the need of the first run
	extra       float64 // constant term
	perThousand float64 // for each thousand servers
	isFloor     bool    // the bound is a minimum instead of a maximum
}

var growthRows = []growthRow{
	{"CPU, s", func(n *emulator.ResourceUsage) float64 { return n.CPU.Seconds() }, 1.4, 0.02, 0.03, false},
	{"peak memory, MB", func(n *emulator.ResourceUsage) float64 { return n.MemoryMB }, 1.5, 8, 4, false},
	{"descriptors", func(n *emulator.ResourceUsage) float64 { return n.Descriptors }, 2, 40, 0, false},
	{"connections made", func(n *emulator.ResourceUsage) float64 { return n.ConnsToNodes }, 2.5, 40, 0, false},
	{"list bytes, KB", func(n *emulator.ResourceUsage) float64 { return n.ListBytes / 1000 }, 2, 64, 500, false},
	{"fraction completed", func(n *emulator.ResourceUsage) float64 { return n.CompletedFraction }, 0.85, 0, 0, true},
}

// Run prints a table. It returns errInvariantViolated after a violation, and otherwise errGrowth if a need exceeds its bound.
func (c *growthCommand) Run(ctx context.Context) error {
	usual, err := emulator.ReadScenario(c.Day)
	if err != nil {
		return err
	}
	scaled := usual.WithServers(c.Servers)
	if err := scaled.Check(); err != nil {
		return usageError{err}
	}
	if err := experiment.CreateEmptyDir(c.Dir); err != nil {
		return usageError{err}
	}
	var needs []emulator.ResourceUsage
	violated := false
	for _, scenario := range []*emulator.Scenario{usual, scaled} {
		dir := filepath.Join(c.Dir, fmt.Sprint(scenario.Fleet.Nodes))
		options := emulator.Options{Start: emulator.StartProgram(c.Program...), Dir: dir}
		report, err := emulator.Run(ctx, scenario.NewPlan(c.Seed), options)
		if err != nil {
			return err
		}
		for _, violation := range report.Violations {
			violated = true
			fmt.Printf("%d servers: %v\n", scenario.Fleet.Nodes, violation)
		}
		if !report.OnTime {
			fmt.Printf("%d servers: the load generator fell behind its schedule\n", scenario.Fleet.Nodes)
		}
		needs = append(needs, report.ResourceUsage)
	}
	exceeded := printGrowth(usual.Fleet.Nodes, c.Servers, &needs[0], &needs[1])
	switch {
	case violated:
		return errInvariantViolated
	case exceeded:
		return errGrowth
	}
	return nil
}

// printGrowth prints the needs of both runs with their bounds, and reports whether one exceeds its bound.
func printGrowth(usualServers, servers int, usual, many *emulator.ResourceUsage) (exceeded bool) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "a proxy\t%d servers\t%d servers\tbound\n", usualServers, servers)
	for i := range growthRows {
		row := &growthRows[i]
		value, bound := row.value(many), row.factor*row.value(usual)+row.extra+row.perThousand*float64(servers)/1000
		isBeyond, note := value > bound, ""
		if row.isFloor {
			isBeyond = value < bound
		}
		if isBeyond {
			exceeded, note = true, "beyond"
		}
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%s\n", row.name, row.value(usual), value, bound, note)
	}
	_ = table.Flush() // standard output
	return exceeded
}
