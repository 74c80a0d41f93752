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

// sampleTable returns a table of three variants with twelve seeds: base, one with the same mean, and one that is higher by
// two.
func sampleTable() *Table {
	t := &Table{Properties: []string{"experiment=x", "cores=8"}}
	for seed := range uint64(12) {
		noise := float64(seed%5) / 10
		for _, v := range []struct {
			name   string
			offset float64
		}{{"base", 0}, {"same", []float64{0.2, -0.2}[seed%2]}, {"more", 2 + noise/10}} {
			metrics := Summary{Requests: 100, LatencyMS: LatencyQuantiles{P99: 10 + 3*noise + v.offset}}.metrics()
			t.Rows = append(t.Rows, Row{Scenario: "d", Variant: v.name, Seed: seed, Valid: true, Metrics: metrics})
		}
	}
	return t
}

// A difference between variants is reported only if it is significant, and invalid rows are ignored.
func TestCompare(t *testing.T) {
	table := sampleTable()
	invalid := table.Rows[1]
	invalid.Seed, invalid.Valid, invalid.Metrics = 99, false, map[string]float64{"p99_ms": 1e9}
	table.Rows = append(table.Rows, invalid)
	got, err := table.Compare("p99_ms", "")
	if err != nil || len(got) != 2 {
		t.Fatal(got, err)
	}
	if d := got[0]; d.Variant != "same" || d.Significant() || d.Pairs != 12 ||
		!strings.Contains(d.String(), "no difference seen") {
		t.Error(d)
	}
	if d := got[1]; d.Variant != "more" || !d.Significant() || d.Low < 1.9 || d.High > 2.2 ||
		!strings.Contains(d.String(), "differs") {
		t.Error(d)
	}
	if again, _ := table.Compare("p99_ms", ""); !reflect.DeepEqual(got, again) {
		t.Error("two comparisons of the same table differ")
	}
	table.Properties = append(table.Properties, "variants=more|base|same")
	if got := table.Variants(); !reflect.DeepEqual(got, []string{"more", "base", "same"}) {
		t.Errorf("got variants %v, want the order of the experiment", got)
	}
	if back, _ := table.Compare("p99_ms", ""); back[0].Variant != "base" || back[0].High > -1.9 {
		t.Error(back)
	}
	table.Properties = table.Properties[:2]
	table.Rows = table.Rows[:15]
	if few, _ := table.Compare("p99_ms", ""); !strings.Contains(few[0].String(), "too few") {
		t.Error(few)
	}
	for _, bad := range []struct{ metric, base string }{{"p98_ms", ""}, {"p99_ms", "unknown"}} {
		if _, err := table.Compare(bad.metric, bad.base); err == nil {
			t.Errorf("%+v: got no error", bad)
		}
	}
}

// A table is read back as it was written. One of another version or with errors is rejected with an error that names the
// file.
func TestTable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "t.tsv")
	written := sampleTable()
	if err := written.Write(file); err != nil {
		t.Fatal(err)
	}
	read, err := ReadTable(file)
	if err != nil || !reflect.DeepEqual(written, read) {
		t.Errorf("error %v, or the table that is read back differs from the one written", err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ name, from, to, want string }{
		{"older version", "woodlab-table-1", "woodlab-table-0", "got version woodlab-table-0, want"},
		{"no table", "woodlab-table-1", "mine", "not a table of an experiment"},
		{"unknown column", "p99_ms", "p98_ms", "line 2: unknown columns"},
		{"bad flag", "\ttrue\t", "\tperhaps\t", "line 3"},
		{"bad seed", "d\tbase\t0", "d\tbase\tx", "line 3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "bad.tsv")
			writeFile(t, file, strings.Replace(string(text), test.from, test.to, 1))
			_, err := ReadTable(file)
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), file) {
				t.Errorf("got error %v, want %q and the file", err, test.want)
			}
		})
	}
}

// A chart is drawn in each format, and an unknown metric is an error.
func TestChart(t *testing.T) {
	for _, name := range []string{"c.svg", "c.png"} {
		if err := sampleTable().Chart("p99_ms", filepath.Join(t.TempDir(), name)); err != nil {
			t.Error(err)
		}
	}
	if err := sampleTable().Chart("p98_ms", "c.svg"); err == nil {
		t.Error("got no error for a chart of an unknown metric")
	}
}

const scenarioFile = `name = "d"
length_s = 1.0
proxies = 1
fleet = { nodes = 1, cores = 1, service_ms = 1.0, queue = 1, cold_from = 0.5 }
origin = { cores = 1, service_ms = 1.0, queue = 1 }
keys = { count = 9, zipf = 1.1 }
load = { rate = 10.0 }
route = [{ name = "read", share = 1.0, objective_ms = 100.0, overall_ms = 200.0, value = 2.0 }]
`

const experimentFile = `experiment = "x"
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

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// writeExperiment writes an experiment file and the scenario file that it names, and returns the path of the experiment.
func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "day.toml"), scenarioFile)
	file := filepath.Join(dir, "x.toml")
	writeFile(t, file, text)
	return file
}

// Each round contains each variant, scenario and seed once, in a fixed order that is not that of the file.
func TestSchedule(t *testing.T) {
	e, err := Read(writeExperiment(t, experimentFile))
	if err != nil {
		t.Fatal(err)
	}
	schedule := e.Schedule()
	times := map[Run]int{}
	sorted := true
	for i, run := range schedule {
		times[run]++
		sorted = sorted && (i == 0 || run.Variant >= schedule[i-1].Variant)
		if run.Round != i/6 {
			t.Error("runs of different rounds are mixed")
		}
	}
	if len(schedule) != 12 || len(times) != 12 || sorted || !reflect.DeepEqual(schedule, e.Schedule()) {
		t.Errorf("got schedule %v, want 12 different runs, shuffled and reproducible", schedule)
	}
}

// The commit property of a table is one word.
func TestBuildCommit(t *testing.T) {
	property := buildCommit()
	name, commit, ok := strings.Cut(property, "=")
	if !ok || name != "commit" || commit == "" || strings.ContainsAny(property, " \t\n") {
		t.Errorf("got %q, want commit= and one word", property)
	}
}

// The error for an invalid experiment is one line that names the invalid line or key.
func TestReadRejectsBadExperiments(t *testing.T) {
	for _, test := range []struct{ name, from, to, want string }{
		{"no name", `experiment = "x"`, `experiment = ""`, "experiment: missing"},
		{"seed twice", `seeds = [1, 2, 3]`, `seeds = [1, 1]`, "seeds[1]: 1: doubled"},
		{"no seeds", `seeds = [1, 2, 3]`, `seeds = []`, "seeds: missing"},
		{"no rounds", `rounds = 2`, `rounds = 0`, "rounds: 0"},
		{"unknown key", `rounds = 2`, `turns = 2`, "line 4: turns: unknown"},
		{"variant twice", `name = "b"`, `name = "a"`, "variant[1].name"},
		{"separator in a variant's name", `name = "b"`, `name = "b|c"`, "variant[1].name"},
		{"variant out of range", `rate = 20.0`, `rate = 1e9`, "variant b: day.toml: load.rate"},
		{"no scenario file", `"day.toml"`, `"night.toml"`, "night.toml"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read(writeExperiment(t, strings.Replace(experimentFile, test.from, test.to, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want %q in one line", err, test.want)
			}
		})
	}
}

// Outcomes are fractions of the requests that clients waited for, value is earned only within the objective, and latency
// is measured from the scheduled time.
func TestSummarize(t *testing.T) {
	scenario, err := emulator.ParseScenario([]byte(scenarioFile))
	if err != nil {
		t.Fatal(err)
	}
	report := &emulator.Report{
		Plan:   &emulator.Plan{Scenario: scenario},
		Events: []emulator.Event{{Kind: emulator.AttemptReceived}, {Kind: emulator.AttemptReceived}, {Kind: emulator.RequestSent}},
	}
	for _, result := range []struct {
		outcome   emulator.Outcome
		latencyMS int
	}{{emulator.Completed, 50}, {emulator.Completed, 150}, {emulator.Rejected, 1}, {emulator.Unanswered, 700}, {emulator.Abandoned, 9}} {
		report.Results = append(report.Results,
			emulator.Result{Outcome: result.outcome, Latency: time.Duration(result.latencyMS) * time.Millisecond})
	}
	s := Summarize(report)
	outcomes, latency := s.Outcomes, s.LatencyMS
	if outcomes.Completed != 0.5 || outcomes.InTime != 0.25 || outcomes.Shed != 0.25 || outcomes.Lost != 0.25 ||
		s.ValueEarned != 0.25 || s.AttemptsPerRequest != 0.4 ||
		latency.P50 < 49 || latency.P50 > 51 || latency.Max < 149 || latency.Max > 151 {
		t.Errorf("got summary %+v", s)
	}
}
