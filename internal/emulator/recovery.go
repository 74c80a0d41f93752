package emulator

import (
	"time"
)

// Return is how service came back after many proxies were killed at once.
type RecoveryResult struct {
	At      time.Duration
	Killed  int
	Started time.Duration // from then until the last was started again
	Full    time.Duration // until the first second from which in-time service stays over 95% of what it was before
	Before  float64       // part of requests answered in time before,
	Between float64       // and until it was full again
}

// returned looks at each mass kill: seconds are counted up to the next trouble that begins later, or the end.
func (p *runner) measureRecoveries() (all []RecoveryResult) {
	for _, b := range p.plan.Blows {
		if b.Kind != "mass-kill" {
			continue
		}
		at := seconds(b.At)
		x := RecoveryResult{At: at, Killed: len(b.Targets), Started: max(seconds(b.For), 500*time.Millisecond) + seconds(b.Spread)}
		end := seconds(p.plan.Day.Length)
		for _, o := range p.plan.Blows {
			if later := seconds(o.At); later > at+x.Started && later < end {
				end = later
			}
		}
		x.Before = p.inTimePart(0, at)
		for from := at; from+time.Second <= end; from += time.Second {
			if p.inTimePart(from, from+time.Second) < 0.95*x.Before {
				x.Full = from + time.Second - at
			}
		}
		x.Between = p.inTimePart(at, at+max(x.Full, time.Second))
		all = append(all, x)
	}
	return all
}

// inTime is the part of requests due within a span that were answered in time; 1 where there were none.
func (p *runner) inTimePart(from, to time.Duration) float64 {
	asked, fine := 0.0, 0.0
	for _, q := range p.load.results {
		if q.Request.At < from || q.Request.At >= to || q.Outcome == Left {
			continue
		}
		if asked++; q.Outcome == Completed && q.Latency <= millis(p.plan.Day.Routes[q.Request.Route].Objective) {
			fine++
		}
	}
	if asked == 0 {
		return 1
	}
	return fine / asked
}
