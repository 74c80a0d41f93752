package balancer

// requestState is one client request while it is unanswered or has attempts in flight. Indices are reused.
type requestState struct {
	Request
	live        bool // the client still waits for an answer
	streaming   bool // the answer has begun
	unadmitted  bool // admission control has not seen it yet
	rejected    bool // by admission control
	overQuota   bool // of its tenant
	deadline    Time // last moment of the final answer
	giveUpAt    Time // an answer after this is worth nothing
	objectiveAt Time // an answer after this misses the latency objective
	nextCheckAt Time
	heapIndex   int // in the heap of deadlines, -1: none

	needsOrigin bool // a cache missed, or it is a write
	queued      bool // for capacity at the origin
	leadsFetch  bool // others wait for its fetch
	following   bool // it waits for another's fetch
	hasFollowed bool // it has waited once

	attempts         int // sent so far
	inFlight         int
	endpoint         int // of the latest attempt in flight, or that was
	attempt          int // number of that attempt
	previousEndpoint int // of the attempt before it
	sentAt           Time
	triedEndpoints   []int
	wasReset         bool // the connection of its latest attempt was reset
	missed           bool // its latest attempt was a cache miss
	evacuated        bool // its latest attempt was cancelled since the zone is evacuated
	mayHaveRun       bool // some attempt may have been carried out
	firstRunAt       Time // when the first such attempt was sent
	firstRunEndpoint int
}

// resumePreviousAttempt makes the attempt before the latest one the latest again.
func (r *requestState) resumePreviousAttempt() {
	r.endpoint, r.attempt = r.previousEndpoint, r.attempt-1
}

// finish forgets a request but for its attempts that are still in flight.
func (b *Balancer) finish(index int) {
	request := &b.requests[index]
	request.live = false
	b.clearDeadline(index)
	if request.queued {
		b.dequeue(index)
	}
	if request.following {
		b.unfollow(index)
	}
	if request.leadsFetch {
		b.completeFetch(request)
	}
}
