package balancer

var rules = []rule{
	// Choose the request to decide on.
	{selecting, (*Balancer).hasPending, (*Balancer).takePending},
	{selecting, (*Balancer).hasExpiredDeadline, (*Balancer).takeExpired},
	{selecting, (*Balancer).canServeQueued, (*Balancer).takeQueued},
	{selecting, (*Balancer).isPollDue, (*Balancer).pollList},
	// Nothing is owed to the client, or nothing can be done yet.
	{deciding, (*Balancer).isSettled, (*Balancer).releaseCurrent},
	{deciding, (*Balancer).isPastDeadline, rejectFor(ReasonDeadline)},
	{deciding, (*Balancer).mustLeaveZone, (*Balancer).cancelForEvacuation},
	{deciding, (*Balancer).awaitsOutlier, (*Balancer).ejectOutlier},
	{deciding, (*Balancer).mayHedge, (*Balancer).hedge},
	{deciding, (*Balancer).isInFlight, (*Balancer).awaitAttempt},
	// What may not be sent again.
	{deciding, (*Balancer).attemptsExhausted, rejectFor(ReasonAttemptsExhausted)},
	{deciding, (*Balancer).retryForbidden, rejectFor(ReasonRetryForbidden)},
	// Overload: requests are rejected by chance, those of little value more often.
	{deciding, (*Balancer).isUnadmitted, (*Balancer).admit},
	{deciding, (*Balancer).isRejected, rejectFor(ReasonOverload)},
	// One fetch for a key: others wait for it a while, then ask the cache.
	{deciding, (*Balancer).mayFollow, (*Balancer).follow},
	// Misses and writes go to the origin, within its concurrency limit.
	{deciding, (*Balancer).lacksOrigin, rejectFor(ReasonNoOrigin)},
	{deciding, (*Balancer).originIsOpen, (*Balancer).sendToOrigin},
	{deciding, (*Balancer).originQueueTooLong, rejectFor(ReasonOriginQueue)},
	{deciding, (*Balancer).needsOrigin, (*Balancer).enqueueForOrigin},
	// All else goes to the caches on the ring.
	{deciding, (*Balancer).isNotSearched, (*Balancer).findCandidate},
	{deciding, (*Balancer).hasCandidate, (*Balancer).sendToCandidate},
	// Where no cache may have it, since none is on the ring or all just started, the origin serves it.
	{deciding, (*Balancer).mayBypassCaches, (*Balancer).bypassCaches},
	{deciding, func(*Balancer) bool { return true }, rejectFor(ReasonNoEndpoint)},
}

func (b *Balancer) sendToCandidate() { b.sendAttempt(b.candidate, b.current.attemptReason()) }

func (b *Balancer) mayBypassCaches() bool { return b.current.attempts == 0 && len(b.origins) > 0 }

func (b *Balancer) bypassCaches() { b.current.needsOrigin = true }
