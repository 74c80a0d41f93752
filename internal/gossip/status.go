package gossip

import (
	"sync/atomic"

	"woodproxy/replica"
)

// Counters count traffic and faults since the start. Safe for concurrent use.
type Counters struct {
	Packets  atomic.Int64 // received UDP packets
	Streams  atomic.Int64 // accepted TCP connections
	BytesIn  atomic.Int64 // of packets and streams
	BytesOut atomic.Int64 // of packets and streams
	Dropped  atomic.Int64 // traffic and calls without space in a queue, and messages that could not be sent
	Bad      atomic.Int64 // malformed or unknown messages and rows, and errors and warnings of memberlist
	Probes   atomic.Int64 // connect probes
}

// Shown is a snapshot of the agent's state for operators. It must not be changed.
type Shown struct {
	Behind  bool    // this proxy still catches up with the state of its peers
	Share   float64 // fraction, 0 to 1, of the cluster-wide limits that this proxy may use
	Members []replica.Member
	Kinds   map[replica.Kind]replica.Held // number and digest of the stored rows
	Refused int64                         // rows that were out of their bounds, since the start
}

// updateStatus takes a new snapshot. It is called from the event loop, or before that starts.
func (a *Talker) updateStatus() {
	a.status.Store(&Shown{
		Behind:  a.store.Behind(),
		Share:   a.store.Share(),
		Members: a.store.Members(),
		Kinds:   a.store.Kinds(),
		Refused: a.store.Dropped,
	})
}

// Shown returns the latest snapshot, which is normally less than a second old. It may be called from any goroutine.
func (a *Talker) Shown() *Shown { return a.status.Load() }
