package gossip

import (
	"fmt"

	"woodproxy/replica"

	"github.com/hashicorp/memberlist"
)

// Multipliers for the number of times that memberlist sends each broadcast, which also grows with the logarithm of the
// number of members.
const (
	rowRetransmits       = 3
	heartbeatRetransmits = 2 // lower than for rows, as the next heartbeat replaces a lost one
)

// broadcastQueues holds rows to be sent to all proxies until memberlist has sent each of them the required number of times.
// Heartbeats have a separate queue with lower priority, so that they never delay other rows. It is safe for concurrent use.
type broadcastQueues struct {
	rows       *memberlist.TransmitLimitedQueue
	heartbeats *memberlist.TransmitLimitedQueue
}

// newBroadcastQueues returns empty queues for a cluster whose current number of members memberCount returns.
func newBroadcastQueues(memberCount func() int) *broadcastQueues {
	return &broadcastQueues{
		rows:       &memberlist.TransmitLimitedQueue{NumNodes: memberCount, RetransmitMult: rowRetransmits},
		heartbeats: &memberlist.TransmitLimitedQueue{NumNodes: memberCount, RetransmitMult: heartbeatRetransmits},
	}
}

// add enqueues an encoded message that contains the row. It replaces a queued message with an earlier version of that row.
func (q *broadcastQueues) add(row *replica.Row, encoded []byte) {
	queue := q.rows
	if isHeartbeat(row.Kind) {
		queue = q.heartbeats
	}
	queue.QueueBroadcast(&rowBroadcast{
		name:    fmt.Sprint(row.Kind, "\x00", row.Key, "\x00", row.Writer),
		encoded: encoded,
	})
}

// isHeartbeat reports whether rows of a kind are heartbeats, which are rewritten periodically.
func isHeartbeat(kind replica.Kind) bool {
	return kind == replica.KindHeartbeat || kind == replica.KindWatchHeartbeat
}

// take returns queued messages to send now. The sum of their lengths and of the overhead of each is at most limit bytes.
func (q *broadcastQueues) take(overhead, limit int) [][]byte {
	messages := q.rows.GetBroadcasts(overhead, limit)
	for _, encoded := range messages {
		limit -= len(encoded) + overhead
	}
	return append(messages, q.heartbeats.GetBroadcasts(overhead, limit)...)
}

// rowBroadcast is a queued message with one row. It implements memberlist.NamedBroadcast.
type rowBroadcast struct {
	name    string // kind, key and writer of the row
	encoded []byte
}

// Name returns the identity of the row, which is the same for all its versions.
func (b *rowBroadcast) Name() string { return b.name }

// Message returns the message to send.
func (b *rowBroadcast) Message() []byte { return b.encoded }

// Finished does nothing. Memberlist calls it when the message has been sent the required number of times or was replaced.
func (b *rowBroadcast) Finished() {}

// Invalidates reports whether other is a queued message with the same row, which this message replaces.
func (b *rowBroadcast) Invalidates(other memberlist.Broadcast) bool {
	row, isRow := other.(*rowBroadcast)
	return isRow && row.name == b.name
}
