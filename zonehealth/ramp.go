package zonehealth

const (
	maxRampWaitSteps = 4    // duration, in RampStepTime, after which a step without any response in time is done
	roundingMargin   = 1e-9 // keeps rounding errors from lowering the mean of n fractions of 1 below 1
)

// startRamp proposes the first step of the recovery ramp.
func (c *Controller) startRamp(z *zone) {
	c.propose(z, z.verdict.successor(Returning, 0), reasonTrials)
}

// minFailingProxies returns the number of proxies whose attempts must be unanswered for a step to fail: two, unless
// there are fewer reachable peers.
func (c *Controller) minFailingProxies() int { return c.fleet.limitToPeers(2) }

// rampFailing reports whether attempts since the start of the current step are unanswered for enough proxies, and for
// more than a quarter of the proxies with attempts.
func (c *Controller) rampFailing(z *zone) bool {
	v := &z.votes
	return z.verdict.State == Returning && v.unanswered >= c.minFailingProxies() && 4*v.unanswered > v.attempted
}

func (c *Controller) rampFailureConfirmed(z *zone) bool {
	at := z.confirmation.rampFailingAt
	return at > 0 && c.now-at >= c.settings.ConfirmationTime
}

// evacuateAgain proposes to end the ramp and evacuate the zone. A failure of the first trial requests does not count as a
// flap: the zone has been lost all the time.
func (c *Controller) evacuateAgain(z *zone) {
	verdict := z.verdict.successor(Evacuated, 0)
	if z.verdict.Step > 0 {
		verdict = z.verdict.flappingSuccessor(Evacuated, 0)
	}
	c.propose(z, verdict, reasonUnanswered)
}

// rampOverloaded reports whether responses are late for at least two proxies and a majority of the proxies with attempts.
// It is false until the current step has lasted for RampStepTime.
func (c *Controller) rampOverloaded(z *zone) bool {
	return z.verdict.State == Returning && z.verdict.Step > 0 && c.now-z.verdictAt >= c.settings.RampStepTime &&
		z.votes.late >= 2 && 2*z.votes.late > z.votes.attempted
}

func (c *Controller) stepBack(z *zone) {
	c.propose(z, z.verdict.successor(Returning, z.verdict.Step-1), reasonAnswersLate)
}

// rampStepDone reports whether the next step may begin: the current step has lasted for RampStepTime, the zone and the
// origin respond in time, and the nodes of the zone can serve the next step despite their slow start.
func (c *Controller) rampStepDone(z *zone) bool {
	if z.verdict.State != Returning {
		return false
	}
	v, elapsed := &z.votes, c.now-z.verdictAt
	few := v.toleratedDissent()
	if elapsed < c.settings.RampStepTime || v.unanswered >= c.minFailingProxies() || v.late > few || v.originLate > few {
		return false
	}
	return (v.inTime >= 1 || elapsed >= maxRampWaitSteps*c.settings.RampStepTime) && c.canServeNextStep(z)
}

// canServeNextStep reports whether the nodes of a zone sustain the load of the next step. They are assumed to sustain the
// first two steps in any case.
func (c *Controller) canServeNextStep(z *zone) bool {
	next := 1.0
	if z.verdict.Step+1 < len(rampFractions) {
		next = rampFractions[z.verdict.Step+1]
	}
	return next <= c.meanSlowStartFraction(z) || next <= rampFractions[1]
}

// meanSlowStartFraction returns the fraction of its normal load that a zone sustains, which is the mean of its nodes.
func (c *Controller) meanSlowStartFraction(z *zone) float64 {
	sum, nodes := 0.0, 0.0
	for _, n := range c.nodes {
		if n != nil && n.zone == z {
			sum += c.slowStartFraction(n)
			nodes++
		}
	}
	return (sum + roundingMargin) / max(nodes, 1)
}

// stepForward proposes the next step of the ramp, or to return the zone to service after the last step.
func (c *Controller) stepForward(z *zone) {
	verdict := z.verdict.successor(Returning, z.verdict.Step+1)
	if verdict.Step >= len(rampFractions) {
		verdict.State, verdict.Step = InService, 0
	}
	c.propose(z, verdict, reasonAnswersInTime)
}
