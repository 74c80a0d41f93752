package emulator

import (
	"time"
)

// recoveredFraction is the fraction of the in-time service before the kill that service must reach to count as recovered.
const recoveredFraction = 0.95

// RecoveryResult describes the recovery of service after many proxies were killed at once. Times count from the kill, except At.
type RecoveryResult struct {
	At                   time.Duration // time of the kill, from the start of the scenario
	Killed               int           // number of proxies killed
	AllStarted           time.Duration // until the last proxy is due to restart
	Recovered            time.Duration // until in-time service stays at 95% or more of InTimeBefore, in whole seconds
	InTimeBefore         float64       // fraction of requests that received a reply in time before the kill
	InTimeUntilRecovered float64       // the same fraction from the kill until Recovered, for at least one second
}

// measureRecoveries calculates the recovery from each mass kill. Service is measured second by second until the next fault that
// begins after the restarts, or until the end of the scenario.
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
		recovery.InTimeBefore = r.inTimeFraction(0, at)
		for from := at; from+time.Second <= end; from += time.Second {
			if r.inTimeFraction(from, from+time.Second) < recoveredFraction*recovery.InTimeBefore {
				recovery.Recovered = from + time.Second - at
			}
		}
		recovery.InTimeUntilRecovered = r.inTimeFraction(at, at+max(recovery.Recovered, time.Second))
		recoveries = append(recoveries, recovery)
	}
	return recoveries
}

// inTimeFraction returns the fraction of the requests due within a span that received a reply in time, 1 if there were no
// requests.
func (r *runner) inTimeFraction(from, to time.Duration) float64 {
	sum, inTime := r.sumInTime(from, to, func(Route) float64 { return 1 })
	if sum == 0 {
		return 1
	}
	return inTime / sum
}

// earnedWeightFraction returns the fraction of the priority weight of the requests due within a span that was earned by replies
// in time, 0 if there were no requests.
func (r *runner) earnedWeightFraction(from, to time.Duration) float64 {
	sum, earned := r.sumInTime(from, to, func(route Route) float64 { return route.Weight })
	return earned / max(sum, 1e-9)
}

// sumInTime returns the total weight of the requests due within a span, and the weight of those that received a reply in time.
// Requests abandoned by their clients are left out.
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
