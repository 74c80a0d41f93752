package duties

import "slices"

// ReportKind tells what a report is about. A newer report of the same kind and key from the same proxy replaces the older
// one. The numbers are fixed: callers index tables by them.
type ReportKind uint8

// Kinds of reports.
const (
	ProbeReport    ReportKind = iota // on a probe of a node, by the proxy that sent it; the key is the node's name
	WatchHeartbeat                   // a watcher's heartbeat; the key is the watcher's name
)

// ProbeOutcome is the state of a probe in a report. The numbers go on the wire.
type ProbeOutcome uint8

// Outcomes of a probe.
const (
	ProbeStarted   ProbeOutcome = iota // the probe was sent, so no other proxy needs to send one
	ProbeFailed                        // the node did not answer
	ProbeSucceeded                     // the node answered
)

// Report is the body of a report that one proxy sends to all others.
type Report struct {
	Round    int64        `msgpack:"r,omitempty"` // of a probe: proxies are ranked anew in each round
	Outcome  ProbeOutcome `msgpack:"h,omitempty"` // of a probe
	ValidFor Time         `msgpack:"f,omitempty"` // of a heartbeat: how long it is valid
}

// timedReport notes that a proxy reported something.
type timedReport struct {
	proxy string
	at    Time
}

// recentReports holds reports in the order in which they came.
type recentReports []timedReport

// since returns the reports that are not older than oldest. It reuses the receiver's memory.
func (r recentReports) since(oldest Time) recentReports {
	return slices.DeleteFunc(r, func(report timedReport) bool { return report.at < oldest })
}

// includes tells whether any of the reports is from the proxy.
func (r recentReports) includes(proxy string) bool {
	return slices.ContainsFunc(r, func(report timedReport) bool { return report.proxy == proxy })
}
