package negativecache

import "slices"

// batchInterval is how long keys are collected for one report.
const batchInterval = Second / 20

// maxPendingAbsent is how many absent keys wait to be reported at most. Further ones are not reported, which costs the
// other proxies a fetch of each.
const maxPendingAbsent = 4 * maxReportKeys

// outbox collects the keys that this proxy has to report to the others. Written keys are never dropped.
type outbox struct {
	written           []uint64
	absent            []uint64
	writeSequence     int64 // sequence number of the latest write report
	absentReportsSent int
	reportedAt        Time
}

// addWritten adds a written key, and reports whether there are enough for a report.
func (o *outbox) addWritten(hash uint64) bool {
	o.written = append(o.written, hash)
	return len(o.written) >= maxReportKeys
}

func (o *outbox) addAbsent(hash uint64) {
	if len(o.absent) < maxPendingAbsent {
		o.absent = append(o.absent, hash)
	}
}

func (o *outbox) dropAbsent() { o.absent = o.absent[:0] }

// due reports whether keys have been collected for long enough.
func (o *outbox) due(now Time) bool {
	return (len(o.written) > 0 || len(o.absent) > 0) && now-o.reportedAt >= batchInterval
}

// appendReports appends the decisions to report all written keys, and then one report of absent keys, if there are any.
func (o *outbox) appendReports(now Time, decisions []Decision) []Decision {
	for len(o.written) > 0 {
		n := min(len(o.written), maxReportKeys)
		o.writeSequence++
		decisions = append(decisions, Decision{
			Action: ActionReportWritten,
			Slot:   int(o.writeSequence % reportSlots),
			Report: KeyReport{Sequence: o.writeSequence, Hashes: slices.Clone(o.written[:n])},
		})
		o.written = o.written[n:]
	}
	if n := min(len(o.absent), maxReportKeys); n > 0 {
		o.absentReportsSent++
		decisions = append(decisions, Decision{
			Action: ActionReportAbsent,
			Slot:   o.absentReportsSent % reportSlots,
			Report: KeyReport{Hashes: slices.Clone(o.absent[:n])},
		})
		o.absent = o.absent[n:]
	}
	o.reportedAt = now
	return decisions
}
