package replica

import "fmt"

// Action is what a Decision requests from the caller. The numbers of the first seven actions are message types on the
// wire.
type Action uint8

// The actions, with the fields of Decision that each one uses. The first seven send a message of that type to peers.
const (
	ActionGossip        Action = iota // gossip the only row in Rows to a few peers at a time until all have it
	ActionSendDigest                  // send Digest to Peer
	ActionSendVersions                // send Buckets, and Versions of the rows in them, to Peer
	ActionSendRows                    // send Rows to Peer
	ActionRequestRows                 // request the rows with the IDs in RowIDs from Peer
	ActionReplyBusy                   // reply to Peer that it should poll another peer
	ActionReplyInSync                 // reply to Peer that both proxies are in sync
	ActionProbe                       // connect to Address; if refused, call ConnectionRefused with Peer and Incarnation
	ActionRowChanged                  // another proxy has changed the only row in Rows; Peer is the proxy that sent it
	ActionSetQuotaShare               // apply Share, the new fraction of the fleet's limits that this proxy may use
	ActionLog                         // log Text
)

// Decision is one action that the caller must carry out, in the order in which decisions are returned. Fields that the
// action does not use are zero.
type Decision struct {
	Action      Action
	Peer        string // name of a peer
	Address     string // host:port
	Incarnation int64  // incarnation of Peer
	Rows        []Row
	Versions    []RowVersion
	RowIDs      []uint64 // hashes of the identities of rows
	Buckets     uint64   // bit mask of digest buckets
	Digest      Digest
	Share       float64 // fraction of the fleet's limits, 0 to 1
	Text        string
}

// decisionList collects the decisions of one call. The next call reuses its memory.
type decisionList struct {
	decisions []Decision
}

func (l *decisionList) add(d Decision) { l.decisions = append(l.decisions, d) }

func (l *decisionList) logf(format string, args ...any) {
	l.add(Decision{Action: ActionLog, Text: fmt.Sprintf(format, args...)})
}
