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

// each calls the function for each id that was recorded less than executedIDTime ago.
func (e *executedIDs) each(now balancer.Time, call func(hash uint64)) {
	for hash := range e.latest {
		if e.contains(hash, now) {
			call(hash)
		}
	}
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

// SetExecutedNotifier sets the function that is called with the hash of the id of each request that must not run twice, right
// before its first attempt. The function must not block. SetExecutedNotifier must be called before Run.
func (r *Router) SetExecutedNotifier(notify func(hash uint64)) { r.notifyExecuted = notify }

// AddExecuted records the hash of the id of a request that must not run twice and that another process has sent to a server.
func (r *Router) AddExecuted(hash uint64) {
	r.mailbox.post(func() { r.executed.add(hash, r.clock.Now()) })
}

// EachExecuted calls the function, on the router's goroutine, with the hash of each id that is recorded and of each open
// request that must not run twice. The function must not block.
func (r *Router) EachExecuted(call func(hash uint64)) {
	r.mailbox.post(func() {
		r.executed.each(r.clock.Now(), call)
		for i := range r.slots {
			if req := r.slots[i].request; req != nil && r.mustRunOnce(req) {
				call(keyHash(req.id))
			}
		}
	})
}

// mustRunOnce reports whether a request of a known route must not run twice.
func (r *Router) mustRunOnce(req *request) bool {
	return r.settings.Balancer.Routes[r.settings.Routes[req.route]].Effect != balancer.Retriable
}

// announceExecuted notifies the other process of a hot restart before the first attempt of a request that must not run twice.
func (r *Router) announceExecuted(s *requestSlot) {
	if r.notifyExecuted != nil && len(s.attempts) == 1 && r.mustRunOnce(s.request) {
		r.notifyExecuted(keyHash(s.request.id))
	}
}

// recordExecuted remembers the id of a request that must not run twice, if an upstream may have run it.
func (r *Router) recordExecuted(s *requestSlot) {
	if s.firstSentAt != 0 && r.mustRunOnce(s.request) {
		r.executed.add(keyHash(s.request.id), r.clock.Now())
	}
}

// isRepeated reports whether the id of a request is that of an open one, for which upstreams would mistake the request, or
// that of one that must not run twice and may have run.
func (r *Router) isRepeated(req *request, now balancer.Time) bool {
	if _, open := r.openIDs[string(req.id)]; open {
		return true
	}
	return r.mustRunOnce(req) && r.executed.contains(keyHash(req.id), now)
}
