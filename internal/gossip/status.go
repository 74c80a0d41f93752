package gossip

import (
	"sync/atomic"

	"woodproxy/replica"
)

// Counters count traffic and faults since the start. Safe for concurrent use.
type Counters struct {
	PacketsReceived atomic.Int64 // received UDP packets
	StreamsAccepted atomic.Int64 // accepted TCP connections
	BytesIn         atomic.Int64 // of packets and streams
	BytesOut        atomic.Int64 // of packets and streams
	Dropped         atomic.Int64 // traffic and calls without space in a queue, and messages that could not be sent
	Faults          atomic.Int64 // malformed or unknown messages and rows, and errors and warnings of memberlist
	ConnectProbes   atomic.Int64 // connect probes
}

// Status is a snapshot of the agent's state for operators. It must not be changed.
type Status struct {
	CatchingUp   bool    // this proxy still catches up with the state of its peers
	QuotaShare   float64 // fraction, 0 to 1, of the cluster-wide limits that this proxy may use
	Members      []replica.Member
	RowsByKind   map[replica.Kind]replica.KindStats // number and digest of the stored rows
	RejectedRows int64                              // rows that were out of their bounds, since the start
}

// updateStatus takes a new snapshot. It is called from the event loop, or before that starts.
func (a *Agent) updateStatus() {
	a.status.Store(&Status{
		CatchingUp:   a.store.CatchingUp(),
		QuotaShare:   a.store.QuotaShare(),
		Members:      a.store.Members(),
		RowsByKind:   a.store.KindStats(),
		RejectedRows: a.store.RejectedRows,
	})
}

// Status returns the latest snapshot, which is normally less than a second old. It may be called from any goroutine.
func (a *Agent) Status() *Status { return a.status.Load() }
