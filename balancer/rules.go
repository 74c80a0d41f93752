package balancer

// rules is the decision logic, in order of precedence; see rule.
var rules = []rule{
	// Select the request to decide on.
	{selecting, (*Balancer).hasPending, (*Balancer).selectPending},
	{selecting, (*Balancer).hasExpiredDeadline, (*Balancer).selectExpired},
	{selecting, (*Balancer).canServeQueued, (*Balancer).selectQueued},
	{selecting, (*Balancer).isPollDue, (*Balancer).pollList},
	// The request is finished, out of time, or waits for an attempt in flight.
	{deciding, (*Balancer).isRepliedOrStreaming, (*Balancer).releaseCurrent},
	{deciding, (*Balancer).mustDeliver, (*Balancer).deliver},
	{deciding, (*Balancer).isPastDeadline, rejectFor(ReasonDeadline)},
	{deciding, (*Balancer).mustEvacuate, (*Balancer).cancelForEvacuation},
	{deciding, (*Balancer).isAwaitingOutlier, (*Balancer).ejectOutlier},
	{deciding, (*Balancer).mayHedge, (*Balancer).hedge},
	{deciding, (*Balancer).isInFlight, (*Balancer).awaitAttempt},
	// Requests that must not be sent again.
	{deciding, (*Balancer).attemptsExhausted, rejectFor(ReasonAttemptsExhausted)},
	{deciding, (*Balancer).retryForbidden, rejectFor(ReasonRetryForbidden)},
	// Under overload requests are rejected at random, those with a low priority weight more often.
	{deciding, (*Balancer).isUnadmitted, (*Balancer).admit},
	// Coalescing: other reads of a key that is being fetched wait for the fetch, then are sent to the cache.
	{deciding, (*Balancer).mayFollow, (*Balancer).follow},
	// Cache misses and writes are sent to the origin, within its concurrency limit.
	{deciding, (*Balancer).lacksOrigin, rejectFor(ReasonNoOrigin)},
	{deciding, (*Balancer).canSendToOrigin, (*Balancer).sendToOrigin},
	{deciding, (*Balancer).originQueueTooLong, rejectFor(ReasonOriginQueue)},
	{deciding, (*Balancer).needsOrigin, (*Balancer).enqueueForOrigin},
	// All other requests are sent to the caches on the ring.
	{deciding, (*Balancer).isNotSearched, (*Balancer).findCandidate},
	{deciding, (*Balancer).hasCandidate, (*Balancer).sendToCandidate},
	// The origin serves a request for which no cache is available, on the ring or out of slow start.
	{deciding, (*Balancer).mayBypassCaches, (*Balancer).bypassCaches},
	{deciding, func(*Balancer) bool { return true }, rejectFor(ReasonNoEndpoint)},
}

func (b *Balancer) sendToCandidate() { b.sendAttempt(b.candidate, b.current.attemptReason()) }

func (b *Balancer) mayBypassCaches() bool { return b.current.attempts == 0 && len(b.origins) > 0 }

func (b *Balancer) bypassCaches() { b.current.needsOrigin = true }
