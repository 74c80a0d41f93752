package gossip

import (
	"sync/atomic"

	"woodproxy/replica"
)

// Counters counts traffic and faults since the start. It is safe for concurrent use.
type Counters struct {
	PacketsReceived atomic.Int64 // received UDP packets, including dropped ones
	StreamsAccepted atomic.Int64 // accepted TCP connections
	BytesIn         atomic.Int64 // bytes received in packets and on streams
	BytesOut        atomic.Int64 // bytes sent in packets and on streams

	// Dropped is the number of packets, connections, messages and calls that were dropped because a limit was exceeded, a
	// queue was full, or encoding or sending failed.
	Dropped atomic.Int64
	// Faults is the number of malformed messages, messages of unknown types, malformed endpoint rows, and errors and
	// warnings logged by memberlist.
	Faults        atomic.Int64
	ConnectProbes atomic.Int64 // connect probes started
}

// Status is a snapshot of the agent's state for operators. It must not be modified.
type Status struct {
	CatchingUp   bool                               // this proxy is still catching up with the state of its peers
	QuotaShare   float64                            // fraction, 0 to 1, of the cluster-wide limits that this proxy may use
	Members      []replica.Member                   // all known proxies, sorted by name
	RowsByKind   map[replica.Kind]replica.KindStats // statistics of the stored rows
	RejectedRows int64                              // number of rows that were rejected since the start
}

// updateStatus replaces the snapshot that Status returns. It is called from the event loop, or before the loop starts.
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
