package replica

import "fmt"

// Act says what a Decision asks the caller to do. The numbers of Spread to Same are message types on the wire.
type Act uint8

// The acts, with the fields of Decision that each one uses. Spread to Same are also the types of the messages between
// peers.
const (
	Spread   Act = iota // gossip Rows, of which there is one, to some peers at a time until all have it
	Digest              // send Sums to To
	Heads               // send Heads, the versions of the rows in the buckets of Which, to To
	Rows                // send Rows to To
	Want                // request the rows IDs from To
	Busy                // reply to To that another peer should be polled
	Same                // reply to To that both are in sync
	Probe               // connect to Address; if the connection is refused, report To and Epoch by Instance.Refused
	Changed             // Rows, of which there is one, was changed by another proxy; To is the peer that sent it
	SetShare            // use Share of the fleet's limits from now on
	Log                 // log Text
)

// Decision is one thing for the caller to do. Decisions are carried out in the order in which they are returned.
type Decision struct {
	Act     Act
	To      string // name of a peer
	Address string // host:port
	Epoch   int64  // incarnation of the proxy To
	Rows    []Row
	Heads   []Head
	IDs     []uint64 // hashes of the rows' identities
	Which   uint64   // bit mask of buckets
	Sums    Sums
	Share   float64 // 0 to 1
	Text    string
}

// decisionList collects the decisions of one call. Its memory is reused by the next call.
type decisionList struct {
	decisions []Decision
}

func (l *decisionList) add(d Decision) { l.decisions = append(l.decisions, d) }

func (l *decisionList) logf(format string, args ...any) {
	l.add(Decision{Act: Log, Text: fmt.Sprintf(format, args...)})
}
