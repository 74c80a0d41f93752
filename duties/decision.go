package duties

import "fmt"

// Action names what a [Decision] asks the caller to do.
type Action uint8

// Actions.
const (
	ScheduleProbe      Action = iota // if the node is ejected here: send it no probe before the given instant, and one right then
	SetWatch                         // on: start to watch discovery; off: leave the watch to other proxies
	SetSuspicion                     // hint from other proxies; on: the node does not answer; off: it answers again
	SetIdleConnections               // on: keep idle connections to the node; off: close them soon
	Broadcast                        // send the report to all proxies; it is void once its time to live is over
	LogMessage                       // write a log line
)

// Decision is one thing for the caller to do. Which fields are set depends on the action.
type Decision struct {
	Action    Action
	Node      string     // name of the node that the action is about
	NotBefore Time       // instant before which a node gets no probe, on the caller's clock
	Enabled   bool       // whether the action switches something on, or off
	Kind      ReportKind // of the report to send
	Key       string     // name of the node or watcher that the report is about
	Report    Report     // body of the report
	TTL       Time       // time to live of the report
	Text      string     // of the log line
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
