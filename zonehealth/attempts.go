package zonehealth

// AttemptSent records that an attempt was sent to the node with the given index.
func (c *Controller) AttemptSent(now Time, index int) {
	if n := c.node(index); n != nil {
		if n.inFlight++; n.inFlight == 1 {
			n.waitingSince, n.overdue = now, false
		}
	}
}

// AttemptFinished records the outcome of an attempt that was recorded by AttemptSent, and the time elapsed since it was
// sent. The resulting decisions are returned by the next Tick.
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
	case Canceled, Unanswered, ConnectFailed:
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
	if outcome == Canceled && !n.overdue && elapsed < c.overdueTime() {
		return // canceled by its client or at its deadline, which is no evidence about the node
	}
	e.counts.unanswered++
	if !n.overdue { // an overdue attempt was counted when it became overdue
		e.addUnanswered(n.hash, now)
	}
}

// overdueTime returns the time after which an attempt counts as unanswered.
func (c *Controller) overdueTime() Time { return c.latency.overdueTime(c.settings.ShortestObjective) }

// ConnectionOpened records that a new connection to a node was opened. The machine of the node is alive even if its
// responses are late.
func (c *Controller) ConnectionOpened(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.connectFailedNodes = n.zone.evidence.connectFailedNodes[:0]
	}
}

// ConnectionRefused records that a new connection to a node was refused or could not be opened.
func (c *Controller) ConnectionRefused(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.addConnectFailure(n.hash)
	}
}

// OriginFetched records a completed fetch from the origin, and whether it was late.
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
	inFlight float64 // attempts in flight
	capacity float64 // attempts in flight that the caches can answer in time
}

// SetLoad sets the number of attempts of this proxy that are in flight at all caches, and the number in flight that the
// caches can answer in time.
func (c *Controller) SetLoad(inFlight, capacity float64) {
	c.load = proxyLoad{inFlight: inFlight, capacity: capacity}
}
