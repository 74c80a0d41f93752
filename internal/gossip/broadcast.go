package gossip

import (
	"fmt"

	"woodproxy/replica"

	"github.com/hashicorp/memberlist"
)

// Multipliers of the number of times that memberlist sends a broadcast, which grows with the logarithm of the cluster.
const (
	rowRetransmits       = 3
	heartbeatRetransmits = 2 // the next heartbeat makes up for one that was lost
)

// broadcastQueues hold rows for all proxies until memberlist has sent them often enough. Heartbeats have a queue of
// their own, which is served last, so that they never delay other rows. Safe for concurrent use.
type broadcastQueues struct {
	rows       *memberlist.TransmitLimitedQueue
	heartbeats *memberlist.TransmitLimitedQueue
}

// newBroadcastQueues makes empty queues for a cluster with the number of members that the function returns.
func newBroadcastQueues(memberCount func() int) *broadcastQueues {
	return &broadcastQueues{
		rows:       &memberlist.TransmitLimitedQueue{NumNodes: memberCount, RetransmitMult: rowRetransmits},
		heartbeats: &memberlist.TransmitLimitedQueue{NumNodes: memberCount, RetransmitMult: heartbeatRetransmits},
	}
}

// add enqueues the message with a row, in place of a queued one with an older version of that row.
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

// isHeartbeat tells whether rows of a kind are written anew all the time.
func isHeartbeat(kind replica.Kind) bool {
	return kind == replica.KindHeartbeat || kind == replica.KindWatchHeartbeat
}

// take returns messages to send now, whose lengths and overheads add up to at most limit bytes.
func (q *broadcastQueues) take(overhead, limit int) [][]byte {
	messages := q.rows.GetBroadcasts(overhead, limit)
	for _, encoded := range messages {
		limit -= len(encoded) + overhead
	}
	return append(messages, q.heartbeats.GetBroadcasts(overhead, limit)...)
}

// rowBroadcast is a queued row. It implements memberlist.NamedBroadcast.
type rowBroadcast struct {
	name    string // kind, key and writer
	encoded []byte
}

// Name identifies the row, whatever its version.
func (b *rowBroadcast) Name() string { return b.name }

// Message returns the message to send.
func (b *rowBroadcast) Message() []byte { return b.encoded }

// Finished is called when the row has been sent often enough or was replaced.
func (b *rowBroadcast) Finished() {}

// Invalidates tells whether this row replaces another one in the queue.
func (b *rowBroadcast) Invalidates(other memberlist.Broadcast) bool {
	row, isRow := other.(*rowBroadcast)
	return isRow && row.name == b.name
}
