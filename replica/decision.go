package replica

import "fmt"

// Action says what a Decision asks the caller to do. The numbers of the first seven are message types on the wire.
type Action uint8

// The acts, with the fields of a decision that each one uses. The first seven send a message of that type to peers.
const (
	ActionGossip        Action = iota // gossip the row (Rows has one) to some peers at a time until all have it
	ActionSendDigest                  // send the digest to the peer
	ActionSendVersions                // send the versions of the rows in the buckets of the bit mask to the peer
	ActionSendRows                    // send the rows to the peer
	ActionRequestRows                 // request the rows with these IDs from the peer
	ActionReplyBusy                   // reply to the peer that it should poll another
	ActionReplyInSync                 // reply to the peer that both are in sync
	ActionProbe                       // connect to Address, and report it if the connection to that peer's incarnation is refused
	ActionRowChanged                  // another proxy has changed the row (Rows has one); the peer is the one that sent it
	ActionSetQuotaShare               // use QuotaShare of the fleet's limits from now on
	ActionLog                         // log Text
)

// Decision is one thing for the caller to do. Decisions are carried out in the order in which they are returned.
type Decision struct {
	Action      Action
	Peer        string // name of a peer
	Address     string // host:port
	Incarnation int64  // incarnation of that peer
	Rows        []Row
	Versions    []RowVersion
	RowIDs      []uint64 // hashes of the rows' identities
	Buckets     uint64   // bit mask of buckets
	Digest      Digest
	Share       float64 // 0 to 1
	Text        string
}

// decisionList collects the decisions of one call. Its memory is reused by the next call.
type decisionList struct {
	decisions []Decision
}

func (l *decisionList) add(d Decision) { l.decisions = append(l.decisions, d) }

func (l *decisionList) logf(format string, args ...any) {
	l.add(Decision{Action: ActionLog, Text: fmt.Sprintf(format, args...)})
}
