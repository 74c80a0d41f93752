package emulator

import "time"

// noSuchKey is the Node of a ReplyReceived event whose reply reports an absent key.
const noSuchKey = "none"

// maxAbsentStaleness returns the longest time for which a key may be reported absent after it was written. It is the sum of
// three heartbeat intervals of the writer, after which its latest heartbeat expires, the grace period of two seconds that
// follows a heartbeat received just before its expiry, half a second for timer delays, and one second for requests in
// flight.
func (d *Scenario) maxAbsentStaleness() time.Duration {
	heartbeat := time.Second + time.Duration(d.Proxies)*10*time.Millisecond
	return 3*heartbeat + 500*time.Millisecond + 2*time.Second + time.Second
}

// measureAbsentKeys sets the rates of lookups of absent keys at the origin and of replies that report an absent key.
func (r *runner) measureAbsentKeys(report *Report, events []Event) {
	for _, e := range events {
		switch {
		case e.Kind == KeyAbsent:
			report.AbsentLookupsPerSecond++
		case e.Kind == ReplyReceived && e.Node == noSuchKey:
			report.AbsentRepliesPerSecond++
		}
	}
	report.AbsentLookupsPerSecond /= r.plan.Scenario.LengthS
	report.AbsentRepliesPerSecond /= r.plan.Scenario.LengthS
}
