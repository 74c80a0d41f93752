package negativecache

// Action is the kind of a [Decision]. The values must not change, since the caller derives the kind of a stored report
// from them.
type Action uint8

// The actions.
const (
	ActionReportWritten Action = iota // send the report to all other proxies, as one of written keys
	ActionReportAbsent                // send the report to all other proxies, as one of absent keys
	ActionLog                         // log the text
)

// Decision is one instruction to the caller. Which fields are set depends on the action.
type Decision struct {
	Action Action
	Slot   int       // slot in which the other proxies store the report, 0 to 63; a later report in the slot replaces it
	Report KeyReport // report to send
	Text   string    // text to log
}
