package balancer

// isSettled holds for a request that is answered, or whose answer has begun and comes by its own attempt.
func (b *Instance) isSettled() bool { return !b.current.live || b.current.streaming }

func (b *Instance) isInFlight() bool { return b.current.inFlight > 0 }

func (b *Instance) needsOrigin() bool { return b.current.needsOrigin }

func (b *Instance) isNotSearched() bool { return b.candidate == notSearched }

func (b *Instance) hasCandidate() bool { return b.candidate >= 0 }

func (b *Instance) isUnadmitted() bool { return b.current.unadmitted }

func (b *Instance) isRejected() bool { return b.current.rejected }

func (b *Instance) lacksOrigin() bool { return b.current.needsOrigin && len(b.origins) == 0 }

func (b *Instance) isPollDue() bool { return b.pollAt <= b.now }
