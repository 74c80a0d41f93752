package experiment

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

func table() *Table {
	t := &Table{About: []string{"experiment=x", "cores=8"}}
	for seed := range uint64(12) {
		noise := float64(seed%5) / 10
		for _, v := range []struct {
			name string
			by   float64
		}{{"base", 0}, {"same", []float64{0.2, -0.2}[seed%2]}, {"more", 2 + noise/10}} {
			f := Sums{Requests: 100, P99: 10 + 3*noise + v.by}.figures()
			t.Rows = append(t.Rows, Row{Day: "d", Variant: v.name, Seed: seed, Counts: true, Figures: f})
		}
	}
	return t
}

// What differs is said to differ, by how much, and what does not is not; plays that do not count are left out.
func TestCompare(t *testing.T) {
	tab := table()
	spoilt := tab.Rows[1]
	spoilt.Seed, spoilt.Counts, spoilt.Figures = 99, false, map[string]float64{"p99_ms": 1e9}
	tab.Rows = append(tab.Rows, spoilt)
	got, err := tab.Compare("p99_ms", "")
	if err != nil || len(got) != 2 {
		t.Fatal(got, err)
	}
	if d := got[0]; d.Variant != "same" || d.Seen() || !strings.Contains(d.String(), "no difference seen") || d.Pairs != 12 {
		t.Error(d)
	}
	if d := got[1]; d.Variant != "more" || !d.Seen() || d.Least < 1.9 || d.Most > 2.2 || !strings.Contains(d.String(), "differs") {
		t.Error(d)
	}
	if again, _ := tab.Compare("p99_ms", ""); !reflect.DeepEqual(got, again) {
		t.Error("the same table says something else")
	}
	tab.About = append(tab.About, "variants=more|base|same")
	if got := tab.Variants(); !reflect.DeepEqual(got, []string{"more", "base", "same"}) {
		t.Errorf("variants %v, not in the experiment's order", got)
	}
	if back, _ := tab.Compare("p99_ms", ""); back[0].Variant != "base" || back[0].Most > -1.9 {
		t.Error(back)
	}
	tab.About = tab.About[:2]
	tab.Rows = tab.Rows[:15]
	if few, _ := tab.Compare("p99_ms", ""); !strings.Contains(few[0].String(), "too few") {
		t.Error(few)
	}
	for _, bad := range [][2]string{{"p98_ms", ""}, {"p99_ms", "nobody"}} {
		if _, err := tab.Compare(bad[0], bad[1]); err == nil {
			t.Error(bad)
		}
	}
}

// A table is read as it was written; an older or another one is refused by name.
func TestTable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "t.tsv")
	was := table()
	if err := was.Write(file); err != nil {
		t.Fatal(err)
	}
	is, err := ReadTable(file)
	if err != nil || !reflect.DeepEqual(was, is) {
		t.Errorf("%v: read otherwise than written", err)
	}
	text, _ := os.ReadFile(file)
	for change, want := range map[string]string{
		"woodlab-table-1>woodlab-table-0": "of version woodlab-table-0, and not",
		"woodlab-table-1>mine":            "no table of woodlab's",
		"p99_ms>p98_ms":                   "line 2: other columns",
		"\ttrue\t>\tperhaps\t":            "line 3",
		"d\tbase\t0>d\tbase\tx":           "line 3",
	} {
		from, to, _ := strings.Cut(change, ">")
		os.WriteFile(file, []byte(strings.Replace(string(text), from, to, 1)), 0o600)
		if _, err := ReadTable(file); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) {
			t.Errorf("%s: %v", change, err)
		}
	}
	for _, name := range []string{"c.svg", "c.png"} {
		if err := was.Chart("p99_ms", filepath.Join(t.TempDir(), name)); err != nil {
			t.Error(err)
		}
	}
	if err := was.Chart("p98_ms", "c.svg"); err == nil {
		t.Error("a column that is none")
	}
}

const day = `name = "d"
length_s = 1.0
proxies = 1
fleet = { nodes = 1, cores = 1, service_ms = 1.0, queue = 1, cold_from = 0.5 }
origin = { cores = 1, service_ms = 1.0, queue = 1 }
keys = { count = 9, zipf = 1.1 }
load = { rate = 10.0 }
route = [{ name = "read", share = 1.0, objective_ms = 100.0, overall_ms = 200.0, value = 2.0 }]
`

const experiment = `experiment = "x"
days = ["day.toml"]
seeds = [1, 2, 3]
rounds = 2
[[variant]]
name = "a"
[[variant]]
name = "b"
rate = 20.0
settings = { "rules.fall" = 2000 }
`

func write(t *testing.T, text string) string {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "day.toml"), []byte(day), 0o600)
	file := filepath.Join(dir, "x.toml")
	os.WriteFile(file, []byte(text), 0o600)
	return file
}

// Each variant plays each day under each seed in each round, in one order that is not that of the file.
func TestOrder(t *testing.T) {
	x, err := ReadExperiment(write(t, experiment))
	if err != nil {
		t.Fatal(err)
	}
	order := x.Order()
	times := map[Play]int{}
	sorted := true
	for i, p := range order {
		times[p]++
		sorted = sorted && (i == 0 || p.Variant >= order[i-1].Variant)
		if p.Round != i/6 {
			t.Error("rounds are mixed")
		}
	}
	if len(order) != 12 || len(times) != 12 || sorted || !reflect.DeepEqual(order, x.Order()) {
		t.Errorf("%v", order)
	}
}

// A table says which commit produced it, in one word.
func TestVersion(t *testing.T) {
	v := version()
	if name, commit, ok := strings.Cut(v, "="); !ok || name != "commit" || commit == "" || strings.ContainsAny(v, " \t\n") {
		t.Errorf("%q", v)
	}
}

// A bad experiment is one line that names what is wrong.
func TestBadExperiments(t *testing.T) {
	for change, want := range map[string]string{
		`experiment = "x">experiment = ""`: "experiment: missing",
		`seeds = [1, 2, 3]>seeds = [1, 1]`: "seeds[1]: 1: doubled",
		`seeds = [1, 2, 3]>seeds = []`:     "seeds: missing",
		`rounds = 2>rounds = 0`:            "rounds: 0",
		`rounds = 2>turns = 2`:             "line 4: turns: unknown",
		`name = "b">name = "a"`:            "variant[1].name",
		`name = "b">name = "b|c"`:          "variant[1].name",
		`rate = 20.0>rate = 1e9`:           "variant b: day.toml: load.rate",
		`"day.toml">"night.toml"`:          "night.toml",
	} {
		from, to, _ := strings.Cut(change, ">")
		_, err := ReadExperiment(write(t, strings.Replace(experiment, from, to, 1)))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", change, err)
		}
	}
}

// A day's figures count what clients waited for, by its worth, from when it was due.
func TestSums(t *testing.T) {
	d, err := emulator.ParseDay([]byte(day))
	if err != nil {
		t.Fatal(err)
	}
	r := &emulator.Report{Plan: &emulator.Plan{Day: d}, Seen: []emulator.Seen{{What: emulator.Took}, {What: emulator.Took}, {What: emulator.Asked}}}
	for _, q := range []struct {
		o  emulator.Outcome
		ms int
	}{{emulator.Completed, 50}, {emulator.Completed, 150}, {emulator.Shed, 1}, {emulator.Lost, 700}, {emulator.Left, 9}} {
		r.Results = append(r.Results, emulator.Result{Outcome: q.o, Latency: time.Duration(q.ms) * time.Millisecond})
	}
	s := Of(r)
	if s.Completed != 0.5 || s.InTime != 0.25 || s.Shed != 0.25 || s.Lost != 0.25 || s.Worth != 0.25 || s.Tries != 0.4 ||
		s.P50 < 49 || s.P50 > 51 || s.Max < 149 || s.Max > 151 {
		t.Errorf("%+v", s)
	}
}
