package gossip

import "go.uber.org/zap"

// malformedLogInterval is the number of faults per log line. A malformed message is logged only if it is the first fault of
// an interval; Counters.Faults also counts faults other than malformed messages.
const malformedLogInterval = 1000

// delegate implements memberlist.Delegate. Memberlist calls its methods from other goroutines than the event loop; none of
// them blocks.
type delegate struct{ agent *Agent }

// NodeMeta returns no metadata: the heartbeat of a proxy contains all information that peers need.
func (d *delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg decodes a message from a peer and enqueues it for the event loop. It counts and drops a malformed message.
func (d *delegate) NotifyMsg(encoded []byte) {
	a := d.agent
	m, err := decodeMessage(encoded)
	if err != nil {
		if a.Faults.Add(1)%malformedLogInterval == 1 {
			a.logger.Warn("peers: malformed message dropped", zap.Int("bytes", len(encoded)))
		}
		return
	}
	a.mailbox.offer(func() { a.receive(m) })
}

// GetBroadcasts returns messages for a gossip packet. The sum of their lengths and of the overhead of each is at most limit
// bytes.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.agent.broadcasts.take(overhead, limit)
}

// LocalState returns no state: package replica detects missed rows by comparing digests.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores the state of a peer, which is always empty.
func (d *delegate) MergeRemoteState([]byte, bool) {}
