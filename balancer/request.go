package balancer

// requestState is the state of one client request until it has its final reply and none of its attempts is in
// flight.
type requestState struct {
	Request
	live        bool // the client still waits for a reply
	streaming   bool // the reply has begun
	unadmitted  bool // admission control has not decided on it yet
	overQuota   bool // it exceeds the quota of its tenant
	deadline    Time // latest time of the final reply
	giveUpAt    Time // time after which a response has no value, a tick before deadline at the latest
	objectiveAt Time // time after which a response misses the latency objective
	nextCheckAt Time // time of its next check, as last set by setDeadline
	heapIndex   int  // index in deadlineHeap, -1: none

	needsOrigin bool // a cache missed, or it is a write
	queued      bool // it waits for capacity at the origin
	leadsFetch  bool // other requests may wait for its fetch
	following   bool // it waits for another request's fetch
	hasFollowed bool // it has waited for a fetch before

	attempts         int  // number of attempts sent
	inFlight         int  // number of its attempts in flight
	endpoint         int  // endpoint of the latest attempt, in flight or ended
	attempt          int  // number of the latest attempt, from 0
	previousEndpoint int  // endpoint of the attempt before the latest one, in flight or ended
	previousAttempt  int  // number of the attempt before the latest one
	sentAt           Time // time at which an attempt was last sent
	triedEndpoints   []int
	respondingFrom   int  // endpoint that has sent the head of a deliverable response, noEndpoint: none
	wasReset         bool // the connection of its latest attempt was reset
	unconfirmed      bool // that its latest attempt was not executed is unconfirmed
	missed           bool // its latest attempt was a cache miss
	evacuated        bool // its latest attempt was canceled because the zone is evacuated
	mayHaveRun       bool // some attempt may have been executed
	firstRunAt       Time // time at which the first such attempt was sent
	firstRunEndpoint int  // endpoint of the first such attempt
}

// resumePreviousAttempt makes the previous attempt the latest one again, which has ended. The numbers of the two need not be
// consecutive: the attempt that is resumed may be hedged several times.
func (r *requestState) resumePreviousAttempt() {
	r.endpoint, r.attempt = r.previousEndpoint, r.previousAttempt
}

// attemptsInFlight returns the numbers of the attempts in flight, at most two, the latest one first.
func (r *requestState) attemptsInFlight() []int {
	return []int{r.attempt, r.previousAttempt}[:r.inFlight]
}

// attemptInFlightAt returns the number of the attempt in flight at an endpoint, or noAttempt.
func (r *requestState) attemptInFlightAt(endpoint int) int {
	switch {
	case r.inFlight > 0 && r.endpoint == endpoint:
		return r.attempt
	case r.inFlight > 1 && r.previousEndpoint == endpoint:
		return r.previousAttempt
	}
	return noAttempt
}

// finish discards the state of a request except for its attempts in flight.
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
