package zonehealth

// Act is what a Decision asks the caller to do.
type Act uint8

const (
	// Bar excludes Node for the share Part of its keys from now on; where Off is set its attempts in flight are
	// cancelled.
	Bar Act = iota
	// Speak publishes the report Voice on Zone to all peers, to be kept there for Life.
	Speak
	// Log writes Text to the log.
	Log
	// Knock opens a connection to Node as a probe; the result is reported by Reached or Refused.
	Knock
)

// Decision is one thing for the caller to do. Its Act says which fields are set.
type Decision struct {
	Act   Act
	Node  int     // index of the node, as in Node.Index
	Part  float64 // excluded share of the node's keys, 0 to 1
	Off   bool    // cancel attempts in flight at the node
	Zone  string
	Voice Voice
	Life  Time // time to live of the report
	Text  string
}
