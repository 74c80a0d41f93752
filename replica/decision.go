package replica

import "fmt"

// Act says what a Decision asks the caller to do. The numbers of the first seven are message types on the wire.
type Act uint8

// The acts, with the fields of a decision that each one uses. The first seven send a message of that type to peers.
const (
	Spread   Act = iota // gossip the row (Rows has one) to some peers at a time until all have it
	Digest              // send the digest to the peer
	Heads               // send the versions of the rows in the buckets of the bit mask to the peer
	Rows                // send the rows to the peer
	Want                // request the rows with these IDs from the peer
	Busy                // reply to the peer that it should poll another
	Same                // reply to the peer that both are in sync
	Probe               // connect to Address, and report it if the connection to that peer's incarnation is refused
	Changed             // another proxy has changed the row (Rows has one); the peer is the one that sent it
	SetShare            // use Share of the fleet's limits from now on
	Log                 // log Text
)

// Decision is one thing for the caller to do. Decisions are carried out in the order in which they are returned.
type Decision struct {
	Act     Act
	To      string // name of a peer
	Address string // host:port
	Epoch   int64  // incarnation of that peer
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
