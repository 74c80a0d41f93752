package experiment

import (
	"encoding/csv"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// tableVersion is raised with each change of what a column means; an older table is refused, and not misread.
const tableVersion = "woodlab-table-1"

// Table is what an experiment keeps: what produced it, and a row for each day that was played.
type Table struct {
	About []string // commit, cores, program and the like, each as name=value
	Rows  []Row
}

// Row is a day that was played.
type Row struct {
	Day, Variant string
	Seed         uint64
	Round        int
	Counts       bool // the load ran in time
	Figures      map[string]float64
}

// figures are the columns, in order. New ones are added behind, and lacking in tables that are older.
var figures = []string{
	"requests", "completed", "in_time", "shed", "errored", "lost", "refused", "worth", "p50_ms", "p90_ms", "p99_ms",
	"max_ms", "tries", "cpu_us", "late_ms", "breaches", "bad_mute",
	"heard_p50_ms", "heard_p99_ms", "unheard", "caught_p50_ms", "caught_max_ms", "peer_bytes", "peer_packets",
	"left_first_ms", "left_last_ms", "zone_back_ms", "worth_hit", "worth_back", "never_left", "convicted", "cold_peak",
	"silent_tries", "watches", "list_calls", "cache_conns", "cache_conns_max",
	"absent_asked", "absent_said", "stale_ms", "full_s",
}

const oldest = 17 // columns of the first tables

func (s Sums) figures() map[string]float64 {
	v := []float64{
		float64(s.Requests), s.Completed, s.InTime, s.Shed, s.Errored, s.Lost, s.Refused, s.Worth, s.P50, s.P90, s.P99, s.Max,
		s.Tries, s.CPU, s.LateMS, float64(s.Breaches), float64(s.BadMute),
		s.HeardP50, s.HeardP99, float64(s.Unheard), s.CaughtP50, s.CaughtMax, s.PeerBytes, s.PeerPackets,
		s.LeftFirst, s.LeftLast, s.ZoneBack, s.WorthHit, s.WorthBack, float64(s.NeverLeft), float64(s.Convicted), s.ColdPeak,
		s.Trials, s.Watches, s.Calls, s.Conns, float64(s.Most), s.AbsentAsked, s.AbsentSaid, s.StaleMS, s.FullS,
	}
	m := map[string]float64{}
	for i, f := range figures {
		m[f] = v[i]
	}
	return m
}

var keys = []string{"day", "variant", "seed", "round", "counts"}

// Write keeps the table as tab-separated text.
func (t *Table) Write(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	w.Comma = '\t'
	w.Write(append([]string{tableVersion}, t.About...))
	w.Write(append(slices.Clone(keys), figures...))
	for _, r := range t.Rows {
		line := []string{r.Day, r.Variant, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Round), strconv.FormatBool(r.Counts)}
		for _, name := range figures {
			line = append(line, strconv.FormatFloat(r.Figures[name], 'g', -1, 64))
		}
		w.Write(line)
	}
	w.Flush()
	return w.Error()
}

// ReadTable reads one that was written by this version.
func ReadTable(file string) (*Table, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.Comma, r.FieldsPerRecord = '\t', -1
	lines, err := r.ReadAll()
	switch {
	case err != nil:
		return nil, fmt.Errorf("table: %s: %w", file, err)
	case len(lines) < 2 || !strings.HasPrefix(lines[0][0], "woodlab-table-"):
		return nil, fmt.Errorf("table: %s: no table of woodlab's", file)
	case lines[0][0] != tableVersion:
		return nil, fmt.Errorf("table: %s: of version %s, and not %s", file, lines[0][0], tableVersion)
	case len(lines[1]) < len(keys)+oldest || len(lines[1]) > len(keys)+len(figures) ||
		!slices.Equal(lines[1], append(slices.Clone(keys), figures...)[:len(lines[1])]):
		return nil, fmt.Errorf("table: %s: line 2: other columns", file)
	}
	t := &Table{About: lines[0][1:]}
	for i, l := range lines[2:] {
		if len(l) != len(lines[1]) {
			return nil, fmt.Errorf("table: %s: line %d: %d columns", file, i+3, len(l))
		}
		row := Row{Day: l[0], Variant: l[1], Figures: map[string]float64{}}
		var errs [3]error
		row.Seed, errs[0] = strconv.ParseUint(l[2], 10, 64)
		row.Round, errs[1] = strconv.Atoi(l[3])
		row.Counts, errs[2] = strconv.ParseBool(l[4])
		for _, err := range errs {
			if err != nil {
				return nil, fmt.Errorf("table: %s: line %d: %w", file, i+3, err)
			}
		}
		for k, name := range lines[1][len(keys):] {
			if row.Figures[name], err = strconv.ParseFloat(l[len(keys)+k], 64); err != nil {
				return nil, fmt.Errorf("table: %s: line %d: %s: %w", file, i+3, name, err)
			}
		}
		t.Rows = append(t.Rows, row)
	}
	return t, nil
}

// Variants are named in the experiment's order, since days are played in another one.
func (t *Table) Variants() []string {
	var names []string
	for _, a := range t.About {
		if list, ok := strings.CutPrefix(a, "variants="); ok {
			names = strings.Split(list, "|")
		}
	}
	for _, r := range t.Rows {
		if !slices.Contains(names, r.Variant) {
			names = append(names, r.Variant)
		}
	}
	return names
}

type pairKey struct {
	day   string
	seed  uint64
	round int
}

// Difference is a variant's figure less the base's, over days, seeds and rounds that both have played.
type Difference struct {
	Variant, Base     string
	Pairs             int
	Mean, Least, Most float64 // and where the mean lies, by nineteen in twenty
	BaseMean          float64
}

// fewestPairs is how many it takes to tell a sign by nineteen in twenty, if all have the same.
const fewestPairs = 6

// Seen tells whether the interval leaves no doubt of the sign.
func (d Difference) Seen() bool { return d.Least > 0 || d.Most < 0 }

func (d Difference) String() string {
	if d.Pairs < fewestPairs {
		return fmt.Sprintf("%s against %s: %d pairs, too few to say", d.Variant, d.Base, d.Pairs)
	}
	verdict := "no difference seen"
	if d.Seen() {
		verdict = "differs"
	}
	return fmt.Sprintf("%s against %s: %s: %+.4g (%.4g to %.4g) on %.4g, %d pairs", d.Variant, d.Base, verdict, d.Mean, d.Least,
		d.Most, d.BaseMean, d.Pairs)
}

// Compare pairs each variant's days with the base's. The interval is drawn from the pairs themselves, anew and anew, by a
// seed that stands, so that a table always says the same.
func (t *Table) Compare(figure, base string) ([]Difference, error) {
	if !slices.Contains(figures, figure) {
		return nil, fmt.Errorf("table: no column %q", figure)
	}
	names := t.Variants()
	if base == "" && len(names) > 0 {
		base = names[0]
	}
	if !slices.Contains(names, base) {
		return nil, fmt.Errorf("table: no variant %q", base)
	}
	at := map[pairKey]float64{} // the base's
	for _, r := range t.Rows {
		if r.Counts && r.Variant == base {
			at[pairKey{r.Day, r.Seed, r.Round}] = r.Figures[figure]
		}
	}
	var out []Difference
	for _, v := range names {
		if v == base {
			continue
		}
		var diffs, bases []float64
		for _, r := range t.Rows { // in the rows' order, and not the map's
			k := pairKey{r.Day, r.Seed, r.Round}
			if b, ok := at[k]; ok && r.Variant == v && r.Counts {
				diffs, bases = append(diffs, r.Figures[figure]-b), append(bases, b)
			}
		}
		d := Difference{Variant: v, Base: base, Pairs: len(diffs)}
		if len(diffs) > 0 {
			d.Mean, d.BaseMean = stat.Mean(diffs, nil), stat.Mean(bases, nil)
			d.Least, d.Most = bootstrap(diffs)
		}
		out = append(out, d)
	}
	return out, nil
}

func bootstrap(diffs []float64) (least, most float64) {
	const draws = 4000
	chance := rand.New(rand.NewPCG(7, 11))
	means := make([]float64, draws)
	for i := range means {
		for range diffs {
			means[i] += diffs[chance.IntN(len(diffs))]
		}
		means[i] /= float64(len(diffs))
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}

// Chart draws a column: for each day the variants from left to right, the mean with all plays round it.
func (t *Table) Chart(figure, file string) error {
	if !slices.Contains(figures, figure) {
		return fmt.Errorf("table: no column %q", figure)
	}
	p := plot.New()
	p.Title.Text = figure
	p.Y.Label.Text = figure
	names := t.Variants()
	p.NominalX(names...)
	var days []string
	for _, r := range t.Rows {
		if !slices.Contains(days, r.Day) {
			days = append(days, r.Day)
		}
	}
	for i, day := range days {
		var dots, means plotter.XYs
		for x, v := range names {
			sum, n := 0.0, 0.0
			for _, r := range t.Rows {
				if y := r.Figures[figure]; r.Day == day && r.Variant == v && r.Counts && !math.IsNaN(y) {
					dots = append(dots, plotter.XY{X: float64(x) + 0.06*float64(i+1), Y: y})
					sum, n = sum+y, n+1
				}
			}
			if n > 0 {
				means = append(means, plotter.XY{X: float64(x) + 0.06*float64(i+1), Y: sum / n})
			}
		}
		if len(means) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(dots)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(2)
		line, err := plotter.NewLine(means)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(scatter, line)
		p.Legend.Add(day, line, scatter)
	}
	p.Legend.Top = true
	p.Y.Max += (p.Y.Max - p.Y.Min) / 8 // room for the legend
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
