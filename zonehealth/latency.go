package zonehealth

import "math"

const (
	latencySmoothing    = 32 // an answer weighs one part in so many in the moving averages of the latency
	latencyDeviations   = 4  // above the mean latency, from which on an attempt is overdue
	overdueMargin       = Second / 100
	overdueFloorDivisor = 8  // an attempt is not overdue before this part of the shortest objective
	initialMeanDivisor  = 8  // the mean latency before the first answer is this part of the shortest objective,
	initialDevDivisor   = 16 // and its deviation this one
)

// latencyEstimate holds moving averages of the latency of answers in time, in units of Time.
type latencyEstimate struct{ mean, deviation float64 }

func newLatencyEstimate(shortestObjective Time) latencyEstimate {
	return latencyEstimate{
		mean:      float64(shortestObjective) / initialMeanDivisor,
		deviation: float64(shortestObjective) / initialDevDivisor,
	}
}

func (l *latencyEstimate) add(latency Time) {
	difference := float64(latency) - l.mean
	l.mean += difference / latencySmoothing
	l.deviation += (math.Abs(difference) - l.deviation) / latencySmoothing
}

// overdue is the time after which an attempt counts as unanswered.
func (l *latencyEstimate) overdue(shortestObjective Time) Time {
	expected := Time(l.mean+latencyDeviations*l.deviation) + overdueMargin
	return min(max(expected, shortestObjective/overdueFloorDivisor), shortestObjective)
}
