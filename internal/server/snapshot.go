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

// snapshotInterval is the minimum time between two writes of the state file.
const snapshotInterval = time.Second

// snapshotWriter stores the endpoint list and the addresses of peers for the next start. Its methods are called by a single
// goroutine; writes run on goroutines of their own, one at a time.
type snapshotWriter struct {
	save      func(*snapshot.Snapshot) error // nil: there is no state file
	config    *Config
	gossip    *gossipAdapter
	router    *proxy.Router
	endpoints *proxy.EndpointList
	log       *zap.Logger

	lastAttempt time.Time
	saving      atomic.Bool   // a write is running
	savedDigest atomic.Uint64 // digest of the last snapshot that was written
	failures    *atomic.Int64 // counter of failed writes
	failing     bool          // the last write failed and was logged; accessed by the running write only
}

// saveIfDue writes a snapshot if snapshotInterval has passed since the last call that did so, and the snapshot differs from
// the last one written. A failed write is retried in each interval; only the first of consecutive failures is logged.
func (w *snapshotWriter) saveIfDue() {
	if w.save == nil || time.Since(w.lastAttempt) < snapshotInterval {
		return
	}
	w.lastAttempt = time.Now()
	current := w.capture()
	if current == nil {
		return
	}
	w.write(current)
}

// write starts to write a snapshot if it differs from the last one written. It does not wait for the disk, and does nothing
// while the previous write is still running.
func (w *snapshotWriter) write(current *snapshot.Snapshot) {
	digest := snapshotDigest(current)
	if digest == w.savedDigest.Load() || !w.saving.CompareAndSwap(false, true) {
		return
	}
	go func() { // ends when the write ends; if the process exits earlier, the previous state file remains
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

// capture returns a snapshot of the current state, or nil if there is no endpoint list yet or the router is too busy.
func (w *snapshotWriter) capture() *snapshot.Snapshot {
	index := w.endpoints.LatestIndex()
	endpoints := w.router.Endpoints()
	if index == 0 || len(endpoints) == 0 {
		return nil
	}
	current := &snapshot.Snapshot{
		Cluster:           w.config.cluster(),
		SavedAt:           time.Now(),
		EndpointListIndex: index,
		EndpointList:      wire.AppendEndpointList(nil, endpoints),
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

// snapshotDigest returns a digest of a snapshot. It excludes the time, whose change alone does not require a write.
func snapshotDigest(s *snapshot.Snapshot) uint64 {
	return xxhash.Sum64(append(fmt.Append(nil, s.EndpointListIndex, s.PeerAddresses), s.EndpointList...))
}
