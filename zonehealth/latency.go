package zonehealth

import "math"

const (
	latencySmoothing    = 32           // inverse weight of a new response in the moving averages of the latency
	latencyDeviations   = 4            // mean deviations above the mean latency after which an attempt is overdue
	overdueMargin       = Second / 100 // added to the time after which an attempt is overdue
	overdueFloorDivisor = 8            // shortest objective / minimum time after which an attempt is overdue
	initialMeanDivisor  = 8            // shortest objective / mean latency before the first response
	initialDevDivisor   = 16           // shortest objective / mean deviation before the first response
)

// latencyEstimate holds moving averages of the latency of responses in time and of its deviation, in units of Time.
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

// overdueTime returns the time after which an attempt counts as unanswered. It is at most the shortest objective.
func (l *latencyEstimate) overdueTime(shortestObjective Time) Time {
	expected := Time(l.mean+latencyDeviations*l.deviation) + overdueMargin
	return min(max(expected, shortestObjective/overdueFloorDivisor), shortestObjective)
}
