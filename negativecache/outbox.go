package negativecache

import "slices"

// batchInterval is the time for which keys are collected for one report.
const batchInterval = Second / 20

// maxPendingAbsent is the maximum number of absent keys that wait to be reported. Further keys are not reported, and each
// of them costs the other proxies a fetch.
const maxPendingAbsent = 4 * maxReportKeys

// outbox collects the keys that this proxy has to report to the other proxies. Written keys are never dropped.
type outbox struct {
	written           []uint64 // hashes of written keys that are not yet reported
	absent            []uint64 // hashes of absent keys that are not yet reported
	writeSequence     int64    // sequence number of the latest write report
	absentReportsSent int      // number of reports of absent keys
	reportedAt        Time     // when reports were last sent
}

// addWritten adds a written key, and reports whether there are enough written keys for a full report.
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

// due reports whether there are keys to report and batchInterval has passed since the last reports.
func (o *outbox) due(now Time) bool {
	return (len(o.written) > 0 || len(o.absent) > 0) && now-o.reportedAt >= batchInterval
}

// appendReports appends decisions to send all written keys, and then at most one report of absent keys.
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
