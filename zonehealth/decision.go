package zonehealth

// Action is the action that a Decision requires of the caller.
type Action uint8

const (
	// ExcludeNode excludes a node from now on for a fraction of its keys, and may cancel its attempts in flight.
	ExcludeNode Action = iota
	// PublishReport publishes a report on a zone to all peers, which drop it after its time to live.
	PublishReport
	// Log writes a text to the log.
	Log
	// ProbeNode opens a new connection to a node as a probe. The caller passes the result to ConnectionOpened or
	// ConnectionRefused.
	ProbeNode
)

// Decision is one action for the caller to take. Only the fields of its Action are set.
type Decision struct {
	Action           Action
	Node             int     // for ExcludeNode and ProbeNode: index of the node in the endpoint list
	ExcludedFraction float64 // for ExcludeNode: excluded fraction of the node's keys, 0 to 1
	CancelInFlight   bool    // for ExcludeNode: cancel attempts in flight at the node
	Zone             string  // for PublishReport
	Report           Report  // for PublishReport
	TTL              Time    // for PublishReport: time to live of the report
	Text             string  // for Log
}
