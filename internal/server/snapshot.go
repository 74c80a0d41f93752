package server

import (
	"fmt"
	"sync/atomic"
	"time"

	"woodproxy/internal/proxy"
	"woodproxy/internal/snapshot"
	"woodproxy/internal/wire"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// snapshotInterval is the time between two writes of the state file, where something changed.
const snapshotInterval = time.Second

// snapshotWriter stores the endpoint list and the addresses of peers for the next start. It is used by one goroutine.
type snapshotWriter struct {
	save      func(*snapshot.Snapshot) error // nil: no state is stored
	config    *Config
	gossip    *gossipAdapter
	router    *proxy.Router
	endpoints *proxy.EndpointList
	log       *zap.Logger

	lastAttempt time.Time
	saving      atomic.Bool   // a write is under way
	savedDigest atomic.Uint64 // of the last snapshot that was written
	failures    *atomic.Int64 // counts writes that failed
	failing     bool          // the last write failed and was logged; used by the write that is under way
}

// saveIfDue writes a snapshot once an interval, where it differs from the last one. A failed write is tried again each
// interval and logged once.
func (w *snapshotWriter) saveIfDue() {
	if w.save == nil || time.Since(w.lastAttempt) < snapshotInterval {
		return
	}
	w.lastAttempt = time.Now()
	current := w.take()
	if current == nil {
		return
	}
	w.write(current)
}

// write begins to save a snapshot that differs from the last one. It does not wait for the disk, and does nothing while
// that is still busy with the one before.
func (w *snapshotWriter) write(current *snapshot.Snapshot) {
	digest := snapshotDigest(current)
	if digest == w.savedDigest.Load() || !w.saving.CompareAndSwap(false, true) {
		return
	}
	go func() { // ends as the disk answers; a process that exits before leaves the file before
		defer w.saving.Store(false)
		err := w.save(current)
		if err == nil {
			w.savedDigest.Store(digest)
			w.failing = false
			return
		}
		w.failures.Add(1)
		if !w.failing {
			w.log.Error("state: snapshot not saved; check that the disk has space and works", zap.Error(err))
		}
		w.failing = true
	}()
}

// take returns the current snapshot; nil if there is no endpoint list yet, or the router is too busy to return it.
func (w *snapshotWriter) take() *snapshot.Snapshot {
	version := w.endpoints.LatestIndex()
	targets := w.router.Endpoints()
	if version == 0 || len(targets) == 0 {
		return nil
	}
	current := &snapshot.Snapshot{
		Cluster:           w.config.cluster(),
		SavedAt:           time.Now(),
		EndpointListIndex: version,
		EndpointList:      wire.AppendEndpointList(nil, targets),
	}
	status := w.gossip.sender.status()
	if status == nil {
		return current
	}
	for i := range status.Members {
		member := &status.Members[i]
		isPeer := member.Address != "" && !hasDeparted(member) && member.Name != w.config.Name
		if isPeer && len(current.PeerAddresses) < maxRestoredSeeds {
			current.PeerAddresses = append(current.PeerAddresses, member.Address)
		}
	}
	return current
}

// snapshotDigest is a digest of what is worth a write; the time is not.
func snapshotDigest(s *snapshot.Snapshot) uint64 {
	return xxhash.Sum64(append(fmt.Append(nil, s.EndpointListIndex, s.PeerAddresses), s.EndpointList...))
}
