package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// minPairs is the minimum number of pairs for 95% confidence in a sign test in which all differ in the same direction.
	minPairs = 6

	bootstrapResamples = 4000
	confidenceLow      = 0.025 // lower and upper quantile of the 95% interval
	confidenceHigh     = 0.975
)

// Difference is the mean difference of a metric between a variant and the base, over the runs that both have.
type Difference struct {
	Variant, Base string
	Pairs         int     // number of pairs of runs with the same scenario, seed and round
	Mean          float64 // variant minus base
	Low, High     float64 // 95% confidence interval of the mean
	BaseMean      float64 // mean of the base
}

// Significant reports whether the confidence interval excludes zero.
func (d Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// String returns the difference as one line for the output of a command.
func (d Difference) String() string {
	if d.Pairs < minPairs {
		return fmt.Sprintf("%s against %s: %d pairs, too few to compare", d.Variant, d.Base, d.Pairs)
	}
	verdict := "no difference seen"
	if d.Significant() {
		verdict = "differs"
	}
	return fmt.Sprintf("%s against %s: %s: %+.4g (%.4g to %.4g) on %.4g, %d pairs",
		d.Variant, d.Base, verdict, d.Mean, d.Low, d.High, d.BaseMean, d.Pairs)
}

// pairKey identifies the runs of two variants that are compared with each other.
type pairKey struct {
	scenario string
	seed     uint64
	round    int
}

func (r Row) pairKey() pairKey { return pairKey{r.Scenario, r.Seed, r.Round} }

// Compare compares each variant with the base on one metric. If base is empty, it is the first variant. Compare fails if
// the table has no such metric or base. The confidence interval is a bootstrap with a fixed seed, so that the same table always
// gives the same result.
func (t *Table) Compare(metric, base string) ([]Difference, error) {
	if err := checkMetric(metric); err != nil {
		return nil, err
	}
	variants := t.Variants()
	if base == "" && len(variants) > 0 {
		base = variants[0]
	}
	if !slices.Contains(variants, base) {
		return nil, fmt.Errorf("table: no variant %q", base)
	}
	baseValues := map[pairKey]float64{}
	for _, row := range t.Rows {
		if row.Valid && row.Variant == base {
			baseValues[row.pairKey()] = row.Metrics[metric]
		}
	}
	var differences []Difference
	for _, variant := range variants {
		if variant != base {
			difference := t.difference(metric, variant, baseValues)
			difference.Base = base
			differences = append(differences, difference)
		}
	}
	return differences, nil
}

// difference pairs the rows of a variant with the base. It keeps the order of the rows, on which the bootstrap depends.
func (t *Table) difference(metric, variant string, baseValues map[pairKey]float64) Difference {
	var changes, bases []float64
	for _, row := range t.Rows {
		if baseValue, paired := baseValues[row.pairKey()]; paired && row.Variant == variant && row.Valid {
			changes, bases = append(changes, row.Metrics[metric]-baseValue), append(bases, baseValue)
		}
	}
	difference := Difference{Variant: variant, Pairs: len(changes)}
	if len(changes) > 0 {
		difference.Mean, difference.BaseMean = stat.Mean(changes, nil), stat.Mean(bases, nil)
		difference.Low, difference.High = bootstrapInterval(changes)
	}
	return difference
}

// bootstrapInterval returns the 95% confidence interval of the mean of the samples.
func bootstrapInterval(samples []float64) (low, high float64) {
	random := rand.New(rand.NewPCG(7, 11))
	means := make([]float64, bootstrapResamples)
	for i := range means {
		for range samples {
			means[i] += samples[random.IntN(len(samples))]
		}
		means[i] /= float64(len(samples))
	}
	slices.Sort(means)
	return stat.Quantile(confidenceLow, stat.Empirical, means, nil), stat.Quantile(confidenceHigh, stat.Empirical, means, nil)
}
