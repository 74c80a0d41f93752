package emulator

import (
	"time"
)

// recoveredPart is the part of the earlier in-time service from which on service counts as recovered.
const recoveredPart = 0.95

// RecoveryResult is how service recovered after many proxies were killed at once. Times count from the kill.
type RecoveryResult struct {
	At      time.Duration // from the scenario's start
	Killed  int
	Started time.Duration // until the last proxy was started again
	Full    time.Duration // until the first second from which on in-time service stays over 95% of what it was before
	Before  float64       // part of the requests that were answered in time before the kill
	Between float64       // the same from the kill until service was full again
}

// measureRecoveries looks at each mass kill: seconds are counted up to the next fault that begins later, or the end.
func (r *runner) measureRecoveries() (recoveries []RecoveryResult) {
	for _, event := range r.plan.Blows {
		if event.Kind != "mass-kill" {
			continue
		}
		at := seconds(event.At)
		recovery := RecoveryResult{
			At: at, Killed: len(event.Targets),
			Started: max(seconds(event.For), minProxyDowntime) + seconds(event.Spread),
		}
		end := seconds(r.plan.Day.Length)
		for _, other := range r.plan.Blows {
			if later := seconds(other.At); later > at+recovery.Started && later < end {
				end = later
			}
		}
		recovery.Before = r.inTimePart(0, at)
		for from := at; from+time.Second <= end; from += time.Second {
			if r.inTimePart(from, from+time.Second) < recoveredPart*recovery.Before {
				recovery.Full = from + time.Second - at
			}
		}
		recovery.Between = r.inTimePart(at, at+max(recovery.Full, time.Second))
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
	sum, earned := r.sumInTime(from, to, func(route Route) float64 { return route.Value })
	return earned / max(sum, 1e-9)
}

// sumInTime adds up the weights of the requests due within a span whose clients waited, and of those answered in time.
func (r *runner) sumInTime(from, to time.Duration, weight func(Route) float64) (sum, inTime float64) {
	for _, result := range r.load.results {
		if result.Request.At < from || result.Request.At >= to || result.Outcome == Left {
			continue
		}
		route := r.plan.Day.Routes[result.Request.Route]
		sum += weight(route)
		if result.Outcome == Completed && result.Latency <= millis(route.Objective) {
			inTime += weight(route)
		}
	}
	return sum, inTime
}
