package zonehealth

// AttemptSent reports that an attempt was sent to the node of an index.
func (c *Controller) AttemptSent(now Time, index int) {
	if n := c.node(index); n != nil {
		if n.inFlight++; n.inFlight == 1 {
			n.waitingSince, n.overdue = now, false
		}
	}
}

// AttemptFinished reports the outcome of an attempt that was reported by AttemptSent, and the time since then. Decisions that follow
// from it are returned by the next Tick.
func (c *Controller) AttemptFinished(now Time, index int, outcome Outcome, elapsed Time) {
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
	case AnsweredInTime, AnsweredLate:
		c.attemptAnswered(n, now, outcome, elapsed)
	case Cancelled, Unanswered, ConnectFailed:
		c.attemptUnanswered(n, now, outcome, elapsed)
	}
	if n.inFlight == 0 {
		n.waitingSince, n.overdue = 0, false
	}
}

func (c *Controller) attemptAnswered(n *node, now Time, outcome Outcome, elapsed Time) {
	e := &n.zone.evidence
	if outcome == AnsweredInTime {
		e.counts.inTime++
		e.lastInTimeAt = now
		c.latency.add(elapsed)
	} else {
		e.counts.late++
	}
	n.waitingSince, n.overdue, n.lastResponseAt, e.lastResponseAt = now, false, now, now
	e.clearRun()
}

func (c *Controller) attemptUnanswered(n *node, now Time, outcome Outcome, elapsed Time) {
	e := &n.zone.evidence
	if outcome == ConnectFailed {
		e.addConnectFailure(n.hash)
	}
	if outcome == Cancelled && !n.overdue && elapsed < c.overdue() {
		return // cancelled by its client or for want of time, which is no evidence about the node
	}
	e.counts.unanswered++
	if !n.overdue { // else it was counted when it became overdue
		e.addUnanswered(n.hash, now)
	}
}

// overdue is the time after which an attempt counts as unanswered.
func (c *Controller) overdue() Time { return c.latency.overdue(c.settings.ShortestObjective) }

// ConnectionOpened reports that a new connection to a node was opened: its machine is alive, however long answers take.
func (c *Controller) ConnectionOpened(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.connectFailedNodes = n.zone.evidence.connectFailedNodes[:0]
	}
}

// ConnectionRefused reports that a new connection to a node was refused or could not be opened.
func (c *Controller) ConnectionRefused(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.addConnectFailure(n.hash)
	}
}

// OriginFetched reports a completed fetch from the origin, and whether it was late.
func (c *Controller) OriginFetched(now Time, late bool) {
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

// SetLoad takes how many attempts this proxy has in flight at all caches, and how many of these they answer in time.
func (c *Controller) SetLoad(inFlight, capacity float64) {
	c.load = proxyLoad{inFlight: inFlight, capacity: capacity}
}
