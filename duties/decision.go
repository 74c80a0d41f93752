package duties

import "fmt"

// Action is the kind of a [Decision].
type Action uint8

// The actions. Enabled and the other fields that the comments mention are those of [Decision].
const (
	ScheduleProbe      Action = iota // if this proxy has ejected the node, send it a probe at NotBefore and none earlier
	SetWatch                         // start watching discovery if Enabled, else leave the watch to other proxies
	SetSuspicion                     // other proxies report that the node does not respond, or if not Enabled that it does
	SetIdleConnections               // keep idle connections to the node if Enabled, else close them soon
	Broadcast                        // send the report to all proxies, which discard it after its TTL
	LogMessage                       // write a log line
)

// Decision is one instruction to the caller. Which fields are set depends on the action.
type Decision struct {
	Action    Action
	Node      string     // name of the node that the action applies to
	NotBefore Time       // earliest time of the next probe, on the caller's clock
	Enabled   bool       // true to enable, false to disable what the action sets
	Kind      ReportKind // kind of the report to send
	Key       string     // name of the node or watcher that the report describes
	Report    Report     // body of the report
	TTL       Time       // time to live of the report
	Text      string     // text of the log line
}

// decisionList collects the decisions of one call.
type decisionList struct {
	decisions []Decision
}

func (l *decisionList) reset() { l.decisions = l.decisions[:0] }

func (l *decisionList) add(d Decision) { l.decisions = append(l.decisions, d) }

func (l *decisionList) logf(format string, args ...any) {
	l.add(Decision{Action: LogMessage, Text: fmt.Sprintf(format, args...)})
}
