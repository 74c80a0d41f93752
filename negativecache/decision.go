package negativecache

// Action is what a [Decision] asks the caller to do. The caller derives the kind of a stored report from it, so the
// values must not change.
type Action uint8

// The actions.
const (
	ActionReportWritten Action = iota // send the report to all other proxies, as one of written keys
	ActionReportAbsent                // send the report to all other proxies, as one of absent keys
	ActionLog                         // log the text
)

// Decision is one action for the caller to carry out.
type Decision struct {
	Action Action
	Slot   int       // where the other proxies store the report, 0 to 63; a later report in the same slot replaces it
	Report KeyReport // to send
	Text   string    // to log
}
