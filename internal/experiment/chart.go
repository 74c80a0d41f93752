package experiment

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	pointRadius = 2

	// scenarioOffset is the distance between the scenarios of a variant, as a fraction of the distance between variants.
	scenarioOffset = 0.06
	// legendRoom is the space for the legend above the points, as a fraction of their range.
	legendRoom = 1.0 / 8
)

// Chart draws a metric to a file: the variants from left to right, and for each scenario its runs as points and their
// means as a line. The extension of the file name selects the format, for example .svg or .png.
func (t *Table) Chart(metric, file string) error {
	if err := checkMetric(metric); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = metric
	p.Y.Label.Text = metric
	p.NominalX(t.Variants()...)
	for i, scenario := range t.scenarios() {
		points, means := t.chartPoints(metric, scenario, scenarioOffset*float64(i+1))
		if len(means) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(pointRadius)
		line, err := plotter.NewLine(means)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(scatter, line)
		p.Legend.Add(scenario, line, scatter)
	}
	p.Legend.Top = true
	p.Y.Max += (p.Y.Max - p.Y.Min) * legendRoom
	return p.Save(chartWidth, chartHeight, file)
}

// chartPoints returns the valid runs of a scenario, and their mean for each variant that has any.
func (t *Table) chartPoints(metric, scenario string, offset float64) (points, means plotter.XYs) {
	for i, variant := range t.Variants() {
		x := float64(i) + offset
		sum, count := 0.0, 0.0
		for _, row := range t.Rows {
			y := row.Metrics[metric]
			if row.Scenario != scenario || row.Variant != variant || !row.Valid || math.IsNaN(y) {
				continue
			}
			points = append(points, plotter.XY{X: x, Y: y})
			sum += y
			count++
		}
		if count > 0 {
			means = append(means, plotter.XY{X: x, Y: sum / count})
		}
	}
	return points, means
}
