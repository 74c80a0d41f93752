package balancer

var rules = []rule{
	// Choose the request to decide on.
	{selecting, (*Instance).hasPending, (*Instance).takePending},
	{selecting, (*Instance).hasExpiredDeadline, (*Instance).takeExpired},
	{selecting, (*Instance).canServeQueued, (*Instance).takeQueued},
	{selecting, (*Instance).isPollDue, (*Instance).pollList},
	// Nothing is owed to the client, or nothing can be done yet.
	{deciding, (*Instance).isSettled, (*Instance).releaseCurrent},
	{deciding, (*Instance).isPastDeadline, (*Instance).reject},
	{deciding, (*Instance).mustLeaveZone, (*Instance).cancelForEvacuation},
	{deciding, (*Instance).awaitsOutlier, (*Instance).ejectOutlier},
	{deciding, (*Instance).mayHedge, (*Instance).hedge},
	{deciding, (*Instance).isInFlight, (*Instance).awaitAttempt},
	// What may not be sent again.
	{deciding, (*Instance).attemptsExhausted, (*Instance).reject},
	{deciding, (*Instance).retryForbidden, (*Instance).reject},
	// Overload: requests are rejected by chance, those of little value more often.
	{deciding, (*Instance).isUnadmitted, (*Instance).admit},
	{deciding, (*Instance).isRejected, (*Instance).reject},
	// One fetch for a key: others wait for it a while, then ask the cache.
	{deciding, (*Instance).mayFollow, (*Instance).follow},
	// Misses and writes go to the origin, within its concurrency limit.
	{deciding, (*Instance).lacksOrigin, (*Instance).reject},
	{deciding, (*Instance).originIsOpen, (*Instance).sendToOrigin},
	{deciding, (*Instance).originQueueTooLong, (*Instance).reject},
	{deciding, (*Instance).needsOrigin, (*Instance).enqueueForOrigin},
	// All else goes to the caches on the ring.
	{deciding, (*Instance).isNotSearched, (*Instance).findCandidate},
	{deciding, (*Instance).hasCandidate, (*Instance).sendToCandidate},
	// Where no cache may have it, since none is on the ring or all just started, the origin serves it.
	{deciding, (*Instance).mayBypassCaches, (*Instance).bypassCaches},
	{deciding, func(*Instance) bool { return true }, (*Instance).reject},
}

func (b *Instance) sendToCandidate() { b.sendAttempt(b.candidate) }

func (b *Instance) mayBypassCaches() bool { return b.current.attempts == 0 && len(b.origins) > 0 }

func (b *Instance) bypassCaches() { b.current.needsOrigin = true }
