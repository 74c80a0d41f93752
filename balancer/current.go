package balancer

// isRepliedOrStreaming reports whether the current request needs no further decision: it has its final reply,
// or its reply is being streamed and ends with the attempt.
func (b *Balancer) isRepliedOrStreaming() bool { return !b.current.live || b.current.streaming }

func (b *Balancer) isInFlight() bool { return b.current.inFlight > 0 }

func (b *Balancer) needsOrigin() bool { return b.current.needsOrigin }

func (b *Balancer) isNotSearched() bool { return b.candidate == notSearched }

func (b *Balancer) hasCandidate() bool { return b.candidate >= 0 }

func (b *Balancer) isUnadmitted() bool { return b.current.unadmitted }

func (b *Balancer) lacksOrigin() bool { return b.current.needsOrigin && len(b.origins) == 0 }

func (b *Balancer) isPollDue() bool { return b.pollAt <= b.now }
