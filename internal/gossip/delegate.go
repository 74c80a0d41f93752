package gossip

import "go.uber.org/zap"

// malformedLogInterval is the number of malformed messages, and of other faults, from one log line to the next.
const malformedLogInterval = 1000

// delegate implements memberlist.Delegate. Memberlist calls it from its own goroutines; no method waits.
type delegate struct{ agent *Agent }

// NodeMeta returns no metadata: what peers have to know of a proxy is in its heartbeat.
func (d *delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg decodes a message from a peer and passes it on to the event loop.
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

// GetBroadcasts returns messages for a gossip packet.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.agent.broadcasts.take(overhead, limit)
}

// LocalState returns nothing: missed rows are found by the digests of package replica.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores the state, which is empty.
func (d *delegate) MergeRemoteState([]byte, bool) {}
