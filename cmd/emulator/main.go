// Emulator plays days of a deployment on loopback among stand-ins, with real proxies, and experiments on top of them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"woodproxy/internal/emulator"
	"woodproxy/internal/experiment"
	"woodproxy/internal/simnet"
	"woodproxy/replica"

	"github.com/alecthomas/kong"
)

type check struct {
	Files []string `arg:"" help:"Days or experiments."`
}

func (c *check) Run(context.Context) error {
	for _, f := range c.Files {
		if experiment.IsExperiment(f) {
			x, err := experiment.Read(f)
			if err != nil {
				return err
			}
			fmt.Printf("%s: good; %d days are to be played\n", f, len(x.Schedule()))
			continue
		}
		d, err := emulator.ReadDay(f)
		if err != nil {
			return err
		}
		fmt.Printf("%s: good; %d requests under seed 1\n", f, len(d.Draw(1).Requests))
	}
	return nil
}

type play struct {
	Day     string   `arg:"" help:"The day's file."`
	Seed    uint64   `default:"1" help:"Who asks what when, and which trouble hits whom."`
	Program []string `default:"bin/woodproxy,serve" help:"The proxy, with its words."`
	Dir     string   `default:"found/day" help:"Where configurations and logs are kept; it must not exist or be empty."`
}

var errBroken = errors.New("a rule was broken")

func (p *play) Run(ctx context.Context) error {
	d, err := emulator.ReadDay(p.Day)
	if err != nil {
		return err
	}
	if err := experiment.CreateEmptyDir(p.Dir); err != nil {
		return err
	}
	r, err := emulator.Play(ctx, d.Draw(p.Seed), emulator.Options{Start: emulator.Program(p.Program...), Dir: p.Dir})
	if err != nil {
		return err
	}
	fmt.Print(experiment.Describe(r))
	for _, b := range r.Breaches {
		fmt.Println(b)
	}
	if len(r.Breaches) > 0 {
		return errBroken
	}
	return nil
}

type experimentCommand struct {
	File string `arg:"" help:"The experiment's file."`
	Out  string `required:"" help:"The table to write."`
	Dir  string `default:"found/experiment" help:"Where configurations and logs are kept."`
}

func (e *experimentCommand) Run(ctx context.Context) error {
	x, err := experiment.Read(e.File)
	if err != nil {
		return err
	}
	if err := experiment.CreateEmptyDir(e.Dir); err != nil {
		return err
	}
	table, err := x.Run(ctx, e.Dir, func(line string) { fmt.Println(line) })
	if ctx.Err() != nil {
		os.RemoveAll(e.Dir)
	}
	if err != nil {
		return err
	}
	return table.Write(e.Out)
}

type compare struct {
	Table  string `arg:"" help:"A table that an experiment wrote."`
	Figure string `default:"p99_ms" help:"The column to compare."`
	Base   string `help:"The variant that others are compared with; the first one where it is not given."`
}

func (c *compare) Run(context.Context) error {
	t, err := experiment.ReadTable(c.Table)
	if err != nil {
		return err
	}
	lines, err := t.Compare(c.Figure, c.Base)
	if err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}

type chart struct {
	Table  string `arg:"" help:"A table that an experiment wrote."`
	Figure string `default:"p99_ms" help:"The column to draw."`
	Out    string `required:"" help:"The picture to write, .svg or .png."`
}

func (c *chart) Run(context.Context) error {
	t, err := experiment.ReadTable(c.Table)
	if err != nil {
		return err
	}
	return t.Chart(c.Figure, c.Out)
}

// null answers every request at once, with no fleet behind it: what is measured on it is the load's own cost and the way
// to a process and back.
type null struct {
	Listen string `env:"GW_LISTEN" required:"" help:"Where clients connect."`
}

func (n *null) Run(ctx context.Context) error { return emulator.Null(ctx, n.Listen) }

// spread plays one change through fleets on simulated links.
type spread struct {
	Sizes []int   `default:"60,300,1000,10000" help:"How many proxies."`
	Loss  float64 `default:"0.05" help:"Part of datagrams that get lost."`
	Seed  uint64  `default:"1"`
}

func (s *spread) Run(context.Context) error {
	fmt.Println("proxies\tp50_ms\tp99_ms\tlast_ms\tnever\tbytes_a_proxy")
	for _, n := range s.Sizes {
		if n < 2 || n > 100000 || !(s.Loss >= 0 && s.Loss < 1) {
			return fmt.Errorf("sizes or loss: %d, %v: out of range", n, s.Loss)
		}
		w := simnet.New(simnet.Terms{Proxies: n, Loss: s.Loss, Late: 1, Hold: replica.Second, Floor: 0.25, Quiet: true}, s.Seed)
		took := w.Spread(4 * replica.Second)
		at := func(part float64) replica.Time {
			if k := int(part * float64(n-1)); k < len(took) {
				return took[k] / 10
			}
			return -1
		}
		sent := 0
		for _, p := range w.Proxies {
			sent += p.Bytes
		}
		fmt.Printf("%d\t%d\t%d\t%d\t%d\t%d\n", n, at(0.5), at(0.99), took[len(took)-1]/10, n-1-len(took), sent/n)
	}
	return nil
}

func main() {
	var cli struct {
		Check      check             `cmd:"" help:"Say whether days or experiments are good."`
		Play       play              `cmd:"" help:"Play a day and check the rules."`
		Experiment experimentCommand `cmd:"" help:"Play days x seeds x variants and keep a table."`
		Compare    compare           `cmd:"" help:"Say by how much variants differ."`
		Null       null              `cmd:"" help:"Answer every request at once, to measure what the load itself costs."`
		Spread     spread            `cmd:"" help:"Play one change through simulated fleets of proxies, and say how long it takes."`
		Chart      chart             `cmd:"" help:"Draw a column of a table."`
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(&cli, kong.Name("emulator"), kong.Description("Plays days of a deployment on loopback, with real proxies."))
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		stop()
		os.Exit(1)
	}
}
