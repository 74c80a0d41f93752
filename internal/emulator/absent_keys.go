package emulator

import "time"

// noSuchKey is an AnswerReceived event's node where the answer was that there is no such key.
const noSuchKey = "none"

// maxAbsentStaleness is the longest for which a key may be reported missing after it was written: until the writer's latest
// heartbeat has expired after three intervals of it, or one has come just before that and the grace of two seconds after it has
// passed, half a second of timers' delay, and a second for what is in flight.
func (d *Scenario) maxAbsentStaleness() time.Duration {
	heartbeat := time.Second + time.Duration(d.Proxies)*10*time.Millisecond
	return 3*heartbeat + 500*time.Millisecond + 2*time.Second + time.Second
}

// measureAbsentKeys counts look-ups of keys that the origin lacks, a second.
func (r *runner) measureAbsentKeys(report *Report, events []Event) {
	for _, e := range events {
		switch {
		case e.Kind == KeyAbsent:
			report.AbsentLookupsPerSecond++
		case e.Kind == ReplyReceived && e.Node == noSuchKey:
			report.AbsentAnswersPerSecond++
		}
	}
	report.AbsentLookupsPerSecond /= r.plan.Scenario.LengthS
	report.AbsentAnswersPerSecond /= r.plan.Scenario.LengthS
}
