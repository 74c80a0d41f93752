package emulator

import (
	"time"
)

// recoveredPart is the part of the earlier in-time service from which on service counts as recovered.
const recoveredPart = 0.95

// RecoveryResult is how service recovered after many proxies were killed at once. Times count from the kill.
type RecoveryResult struct {
	At                   time.Duration // from the scenario's start
	Killed               int
	AllStarted           time.Duration // until the last proxy was started again
	Recovered            time.Duration // until the first second from which on in-time service stays over 95% of what it was before
	InTimeBefore         float64       // part of the requests that were answered in time before the kill
	InTimeUntilRecovered float64       // the same from the kill until service was full again
}

// measureRecoveries looks at each mass kill: seconds are counted up to the next fault that begins later, or the end.
func (r *runner) measureRecoveries() (recoveries []RecoveryResult) {
	for _, event := range r.plan.Faults {
		if event.Kind != "mass-kill" {
			continue
		}
		at := seconds(event.AtS)
		recovery := RecoveryResult{
			At: at, Killed: len(event.Targets),
			AllStarted: max(seconds(event.DurationS), minProxyDowntime) + seconds(event.SpreadS),
		}
		end := seconds(r.plan.Scenario.LengthS)
		for _, other := range r.plan.Faults {
			if later := seconds(other.AtS); later > at+recovery.AllStarted && later < end {
				end = later
			}
		}
		recovery.InTimeBefore = r.inTimePart(0, at)
		for from := at; from+time.Second <= end; from += time.Second {
			if r.inTimePart(from, from+time.Second) < recoveredPart*recovery.InTimeBefore {
				recovery.Recovered = from + time.Second - at
			}
		}
		recovery.InTimeUntilRecovered = r.inTimePart(at, at+max(recovery.Recovered, time.Second))
		recoveries = append(recoveries, recovery)
	}
	return recoveries
}

// inTimePart is the part of the requests due within a span that were answered in time; 1 where there were none.
func (r *runner) inTimePart(from, to time.Duration) float64 {
	sum, inTime := r.sumInTime(from, to, func(Route) float64 { return 1 })
	if sum == 0 {
		return 1
	}
	return inTime / sum
}

// earnedValuePart is the part of the value of the requests due within a span that was earned by answers in time; 0 where there
// were none.
func (r *runner) earnedValuePart(from, to time.Duration) float64 {
	sum, earned := r.sumInTime(from, to, func(route Route) float64 { return route.Weight })
	return earned / max(sum, 1e-9)
}

// sumInTime adds up the weights of the requests due within a span whose clients waited, and of those answered in time.
func (r *runner) sumInTime(from, to time.Duration, weight func(Route) float64) (sum, inTime float64) {
	for _, result := range r.load.results {
		if result.Request.At < from || result.Request.At >= to || result.Outcome == Abandoned {
			continue
		}
		route := r.plan.Scenario.Routes[result.Request.Route]
		sum += weight(route)
		if result.Outcome == Completed && result.Latency <= millis(route.ObjectiveMS) {
			inTime += weight(route)
		}
	}
	return sum, inTime
}
