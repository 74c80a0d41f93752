package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"

	"woodproxy/internal/configfile"
	"woodproxy/internal/emulator"
)

// Experiment is what an experiment's file says: each variant plays each day under each seed, as many rounds as stated, in
// an order drawn anew for each round, so that what drifts on the machine befalls all alike.
type Experiment struct {
	Kind     string    `toml:"experiment"` // its name; marks the file as an experiment
	Days     []string  `toml:"days"`       // files, from where the experiment's lies
	Seeds    []uint64  `toml:"seeds"`
	Rounds   int       `toml:"rounds"`
	Variants []Variant `toml:"variant"`

	days []*emulator.Day
}

// Variant is a program, with settings put over the day's, and figures of the day itself changed.
type Variant struct {
	Name     string         `toml:"name"`
	Program  []string       `toml:"program"`
	Settings map[string]any `toml:"settings"`    // by path, steps apart by dots
	Rate     float64        `toml:"rate"`        // requests a second, 0: the day's
	Proxies  int            `toml:"proxies"`     // 0: the day's
	Zipf     float64        `toml:"zipf"`        // 0: the day's
	Cores    float64        `toml:"cores"`       // of a proxy, 0: the day's
	Clients  int            `toml:"connections"` // that clients hold, 0: the day's
	Talk     *bool          `toml:"talk"`        // whether proxies talk with one another
	Judged   *string        `toml:"judged"`      // how they judge zones
	State    *bool          `toml:"state"`       // whether they keep what they know on a disk
	Missing  *bool          `toml:"missing"`     // whether they remember keys that the origin lacks
	Turns    *bool          `toml:"turns"`       // whether they take turns
}

// IsExperiment tells an experiment's file from a day's.
func IsExperiment(file string) bool {
	text, err := os.ReadFile(file)
	return err == nil && (bytes.HasPrefix(text, []byte("experiment")) || bytes.Contains(text, []byte("\nexperiment")))
}

// ReadExperiment reads and checks one, with its days.
func ReadExperiment(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	x := &Experiment{Rounds: 1}
	if err := configfile.TOML(text, x); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	if err := x.check(filepath.Dir(file)); err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", file, err)
	}
	return x, nil
}

func (x *Experiment) check(dir string) error {
	switch {
	case x.Kind == "":
		return errors.New("experiment: missing")
	case len(x.Days) == 0:
		return errors.New("days: missing")
	case len(x.Seeds) == 0:
		return errors.New("seeds: missing")
	case len(x.Variants) == 0:
		return errors.New("variant: missing")
	case x.Rounds < 1 || x.Rounds > 1000:
		return fmt.Errorf("rounds: %d: not from 1 to 1000", x.Rounds)
	}
	seeds := map[uint64]bool{}
	for i, s := range x.Seeds {
		if seeds[s] {
			return fmt.Errorf("seeds[%d]: %d: doubled", i, s)
		}
		seeds[s] = true
	}
	names := map[string]bool{}
	for i, v := range x.Variants {
		if v.Name == "" || names[v.Name] || strings.ContainsAny(v.Name, "|\t\n/") {
			return fmt.Errorf("variant[%d].name: missing, doubled or with a sign that tables and folders need", i)
		}
		names[v.Name] = true
	}
	for _, f := range x.Days {
		d, err := emulator.ReadDay(filepath.Join(dir, f))
		if err != nil {
			return err
		}
		for _, v := range x.Variants {
			if err := v.on(d).Check(); err != nil {
				return fmt.Errorf("variant %s: %s: %w", v.Name, f, err)
			}
		}
		x.days = append(x.days, d)
	}
	return nil
}

// on is the day as a variant has it.
func (v Variant) on(d *emulator.Day) *emulator.Day {
	c := *d
	if v.Rate > 0 {
		c.Load.Rate = v.Rate
	}
	if v.Proxies > 0 {
		c.Proxies = v.Proxies
	}
	if v.Zipf > 0 {
		c.Keys.Zipf = v.Zipf
	}
	if v.Cores > 0 {
		c.Limits.Cores = v.Cores
	}
	if v.Clients > 0 {
		c.Load.Connections = v.Clients
	}
	if v.Judged != nil {
		c.Zones.Judged = *v.Judged
	}
	if v.State != nil {
		c.State = *v.State
	}
	if v.Missing != nil {
		c.Missing.On = *v.Missing
	}
	if v.Turns != nil {
		c.Turns.On = *v.Turns
	}
	if v.Talk != nil {
		c.Peers.Talk = *v.Talk
		if !c.Peers.Talk { // what stands between them alone does not come
			c.Trouble = slices.DeleteFunc(slices.Clone(c.Trouble), func(t emulator.Trouble) bool { return t.NeedsTalk() })
		}
	}
	return &c
}

// Play is one day to be played.
type Play struct {
	Day, Variant int
	Seed         uint64
	Round        int
}

// Order is that in which the days are played; an experiment always has the same one.
func (x *Experiment) Order() []Play {
	var all []Play
	chance := rand.New(rand.NewPCG(1, uint64(len(x.Variants))))
	for round := range x.Rounds {
		var some []Play
		for d := range x.Days {
			for v := range x.Variants {
				for _, s := range x.Seeds {
					some = append(some, Play{d, v, s, round})
				}
			}
		}
		chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
		all = append(all, some...)
	}
	return all
}

// Run plays all days; say is told of each. A day on which the load itself ran late is played once more, and does not
// count if that is late too.
func (x *Experiment) Run(ctx context.Context, dir string, say func(string)) (*Table, error) {
	var names []string
	for _, v := range x.Variants {
		names = append(names, v.Name)
	}
	t := &Table{About: []string{
		"experiment=" + x.Kind, fmt.Sprintf("cores=%d", runtime.NumCPU()),
		"variants=" + strings.Join(names, "|"), version(),
	}}
	order := x.Order()
	for i, p := range order {
		v := x.Variants[p.Variant]
		words := v.Program
		if len(words) == 0 {
			words = []string{"bin/woodproxy", "serve"}
		}
		var r *emulator.Report
		for try := range 2 {
			var err error
			at := filepath.Join(dir, fmt.Sprintf("%03d-%d-%s", i, try, v.Name))
			if err = Fresh(at); err != nil {
				return nil, err
			}
			r, err = emulator.Play(ctx, v.on(x.days[p.Day]).Draw(p.Seed), emulator.Options{Start: emulator.Program(words...), Dir: at, Overrides: v.Settings})
			if err != nil {
				return nil, err
			}
			if r.Ran {
				break
			}
		}
		s := Of(r)
		row := Row{Day: x.days[p.Day].Name, Variant: v.Name, Seed: p.Seed, Round: p.Round, Counts: r.Ran, Figures: s.figures()}
		t.Rows = append(t.Rows, row)
		say(fmt.Sprintf("%d of %d: %s, %s, seed %d: worth %.4f, p99 %.1f ms, %d breaches, counts %v", i+1, len(order), row.Day, row.Variant,
			row.Seed, s.Worth, s.P99, s.Breaches, r.Ran))
	}
	return t, nil
}

// version names the commit that programs were built from: what this program was stamped with, else that of the folder that it
// runs in.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		commit, modified := "", ""
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				commit = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				modified = "+"
			}
		}
		if commit != "" {
			return "commit=" + commit + modified
		}
	}
	out, err := exec.Command("git", "describe", "--always", "--abbrev=40", "--dirty=+", "--exclude=*").Output()
	if err != nil {
		return "commit=unknown"
	}
	return "commit=" + strings.TrimSpace(string(out))
}
