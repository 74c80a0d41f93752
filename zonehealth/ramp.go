package zonehealth

const (
	maxRampWaitSteps = 4    // steps' times after which a step without any answer in time is done
	roundingMargin   = 1e-9 // so that a sum of full shares is not below its number
)

// startRamp proposes the first step of the recovery ramp.
func (c *Controller) startRamp(z *zone) {
	c.propose(z, z.verdict.successor(Returning, 0), reasonTrials)
}

// minFailingProxies is how many proxies have to find attempts unanswered: not one alone, if there are more.
func (c *Controller) minFailingProxies() int { return c.fleet.limitToPeers(2) }

// rampFailing reports whether attempts since this step are unanswered, for more than a quarter of the proxies that
// made any.
func (c *Controller) rampFailing(z *zone) bool {
	v := &z.votes
	return z.verdict.State == Returning && v.unanswered >= c.minFailingProxies() && 4*v.unanswered > v.attempted
}

func (c *Controller) rampFailureConfirmed(z *zone) bool {
	at := z.confirmation.rampFailingAt
	return at > 0 && c.now-at >= c.settings.ConfirmationTime
}

// evacuateAgain proposes to end the ramp. A zone whose first trial requests find it still lost does not flap.
func (c *Controller) evacuateAgain(z *zone) {
	verdict := z.verdict.successor(Evacuated, 0)
	if z.verdict.Step > 0 {
		verdict = z.verdict.flappingSuccessor(Evacuated, 0)
	}
	c.propose(z, verdict, reasonUnanswered)
}

// rampOverloaded reports whether answers are late for a majority of the proxies with attempts, once a step has lasted.
func (c *Controller) rampOverloaded(z *zone) bool {
	return z.verdict.State == Returning && z.verdict.Step > 0 && c.now-z.verdictAt >= c.settings.RampStepTime &&
		z.votes.late >= 2 && 2*z.votes.late > z.votes.attempted
}

func (c *Controller) stepBack(z *zone) {
	c.propose(z, z.verdict.successor(Returning, z.verdict.Step-1), reasonAnswersLate)
}

// rampStepDone reports whether a step has lasted, the zone and the origin answer in time, and the zone's nodes in
// slow start bear the next step.
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

// canServeNextStep reports whether a zone's nodes bear the share of keys of the next step. The first two steps they
// always do.
func (c *Controller) canServeNextStep(z *zone) bool {
	next := 1.0
	if z.verdict.Step+1 < len(rampFractions) {
		next = rampFractions[z.verdict.Step+1]
	}
	return next <= c.meanSlowStartFraction(z) || next <= rampFractions[1]
}

// meanSlowStartFraction is the share of its work that a zone bears.
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

// stepForward proposes the next step, or service after the last one.
func (c *Controller) stepForward(z *zone) {
	verdict := z.verdict.successor(Returning, z.verdict.Step+1)
	if verdict.Step >= len(rampFractions) {
		verdict.State, verdict.Step = InService, 0
	}
	c.propose(z, verdict, reasonAnswersInTime)
}
