package negativecache

// Act is what a [Decision] asks the caller to do. The caller derives the kind of a stored report from it, so the
// values must not change.
type Act uint8

// The actions.
const (
	SayWrote  Act = iota // send the report to all other proxies, as one of written keys
	SayAbsent            // send the report to all other proxies, as one of absent keys
	Log                  // log the text
)

// Decision is one action for the caller to carry out.
type Decision struct {
	Act  Act
	Slot int    // where the other proxies store the report, 0 to 63; a later report in the same slot replaces it
	Word Word   // to send
	Text string // to log
}
