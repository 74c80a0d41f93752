package proxy

import (
	"time"

	"woodproxy/balancer"
)

// Limits of the memory of executed requests.
const (
	executedIDTime = balancer.Time(time.Minute / tickDuration)
	maxExecutedIDs = 1 << 14
)

// executedIDs remembers the ids of requests that must not run twice and that a server may have run. A client that has left
// may send a request again under the same id. The ids are kept as hashes for executedIDTime; the oldest ones are dropped if
// there are more than maxExecutedIDs. Only the router's goroutine uses it.
type executedIDs struct {
	latest map[uint64]balancer.Time // time of the latest addition, by hash
	order  []executedID             // additions in order of time, from first on
	first  int
}

type executedID struct {
	hash uint64
	at   balancer.Time
}

// add records an id.
func (e *executedIDs) add(hash uint64, now balancer.Time) {
	if e.latest == nil {
		e.latest = map[uint64]balancer.Time{}
	}
	e.latest[hash] = now
	e.order = append(e.order, executedID{hash, now})
	e.dropOld(now)
}

// contains reports whether an id was recorded less than executedIDTime ago.
func (e *executedIDs) contains(hash uint64, now balancer.Time) bool {
	at, found := e.latest[hash]
	return found && now-at < executedIDTime
}

// dropOld drops the ids that are too old or too many.
func (e *executedIDs) dropOld(now balancer.Time) {
	for e.first < len(e.order) && (len(e.order)-e.first > maxExecutedIDs || now-e.order[e.first].at >= executedIDTime) {
		oldest := e.order[e.first]
		if e.latest[oldest.hash] == oldest.at {
			delete(e.latest, oldest.hash)
		}
		e.first++
	}
	if e.first > len(e.order)/2 {
		e.order = append(e.order[:0], e.order[e.first:]...)
		e.first = 0
	}
}
