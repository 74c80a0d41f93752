package zonehealth

// Sent reports that an attempt was sent to the node of an index.
func (c *Instance) Sent(now Time, index int) {
	if n := c.node(index); n != nil {
		if n.inFlight++; n.inFlight == 1 {
			n.waitingSince, n.overdue = now, false
		}
	}
}

// Ended reports the outcome of an attempt that was reported by Sent, and the time since then. Decisions that follow
// from it are returned by the next Tick.
func (c *Instance) Ended(now Time, index int, outcome Ending, elapsed Time) {
	n := c.node(index)
	if n == nil {
		return
	}
	n.inFlight = max(n.inFlight-1, 0)
	if n.zone == nil {
		return
	}
	n.zone.evidence.counts.decay(now)
	switch outcome {
	case Answered, Late:
		c.attemptAnswered(n, now, outcome, elapsed)
	case Undone, Nothing, Shut:
		c.attemptUnanswered(n, now, outcome, elapsed)
	}
	if n.inFlight == 0 {
		n.waitingSince, n.overdue = 0, false
	}
}

func (c *Instance) attemptAnswered(n *node, now Time, outcome Ending, elapsed Time) {
	e := &n.zone.evidence
	if outcome == Answered {
		e.counts.inTime++
		e.inTimeAt = now
		c.latency.add(elapsed)
	} else {
		e.counts.late++
	}
	n.waitingSince, n.overdue, n.answeredAt, e.answeredAt = now, false, now, now
	e.clearRun()
}

func (c *Instance) attemptUnanswered(n *node, now Time, outcome Ending, elapsed Time) {
	e := &n.zone.evidence
	if outcome == Shut {
		e.addUnconnected(n.hash)
	}
	if outcome == Undone && !n.overdue && elapsed < c.overdue() {
		return // cancelled by its client or for want of time, which is no evidence about the node
	}
	e.counts.unanswered++
	if !n.overdue { // else it was counted when it became overdue
		e.addUnanswered(n.hash, now)
	}
}

// overdue is the time after which an attempt counts as unanswered.
func (c *Instance) overdue() Time { return c.latency.overdue(c.settings.Shortest) }

// Reached reports that a new connection to a node was opened: its machine is alive, however long answers take.
func (c *Instance) Reached(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.unconnectedNodes = n.zone.evidence.unconnectedNodes[:0]
	}
}

// Refused reports that a new connection to a node was refused or could not be opened.
func (c *Instance) Refused(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.addUnconnected(n.hash)
	}
}

// Origin reports a completed fetch from the origin, and whether it was late.
func (c *Instance) Origin(now Time, late bool) {
	c.origin.decay(now)
	if late {
		c.origin.late++
	} else {
		c.origin.inTime++
	}
}

// proxyLoad is the load of this proxy on all caches.
type proxyLoad struct {
	inFlight float64 // attempts
	capacity float64 // attempts in flight that the caches answer in time
}

// Load takes how many attempts this proxy has in flight at all caches, and how many of these they answer in time.
func (c *Instance) Load(inFlight, capacity float64) {
	c.load = proxyLoad{inFlight: inFlight, capacity: capacity}
}
