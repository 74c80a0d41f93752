package duties

import "slices"

// ReportKind is the kind of a report. A newer report of the same kind and key from the same proxy replaces the older
// one. The values must not change: callers use them as indexes.
type ReportKind uint8

// The kinds of reports.
const (
	ProbeReport    ReportKind = iota // a probe of a node, from the proxy that sends it; the key is the node's name
	WatchHeartbeat                   // a watcher's heartbeat; the key is the watcher's name
)

// ProbeOutcome is the state of a probe in a report. The values are sent to other proxies and must not change.
type ProbeOutcome uint8

// The outcomes of a probe.
const (
	ProbeStarted   ProbeOutcome = iota // the probe was sent, so no other proxy needs to send one
	ProbeFailed                        // the node did not respond
	ProbeSucceeded                     // the node responded
)

// Report is the body of a report that one proxy sends to all others.
type Report struct {
	Round    int64        `msgpack:"r,omitempty"` // number of the probe; proxies are ranked differently in each round
	Outcome  ProbeOutcome `msgpack:"h,omitempty"` // outcome of the probe
	ValidFor Time         `msgpack:"f,omitempty"` // validity of the heartbeat, from the time it was sent
}

// timedReport records the sender and the time of a report.
type timedReport struct {
	proxy string
	at    Time
}

// recentReports holds reports in the order in which they were received.
type recentReports []timedReport

// since returns the reports made at or after oldest. It modifies the receiver.
func (r recentReports) since(oldest Time) recentReports {
	return slices.DeleteFunc(r, func(report timedReport) bool { return report.at < oldest })
}

// includes reports whether any of the reports is from the proxy.
func (r recentReports) includes(proxy string) bool {
	return slices.ContainsFunc(r, func(report timedReport) bool { return report.proxy == proxy })
}
