package zonehealth

// Act is what a Decision asks the caller to do.
type Act uint8

const (
	// Bar excludes a node for a share of its keys from now on, and may cancel its attempts in flight.
	Bar Act = iota
	// Speak publishes a report on a zone to all peers, which drop it after its time to live.
	Speak
	// Log writes a text to the log.
	Log
	// Knock opens a connection to a node as a probe; the caller reports whether it was opened or refused.
	Knock
)

// Decision is one thing for the caller to do. Which fields are set depends on what it asks for.
type Decision struct {
	Act   Act
	Node  int     // index of the node, as in the endpoint list
	Part  float64 // excluded share of the node's keys, 0 to 1
	Off   bool    // cancel attempts in flight at the node
	Zone  string
	Voice Voice
	Life  Time // time to live of the report
	Text  string
}
