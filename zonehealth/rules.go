package zonehealth

// rule is one step of the judgement of a zone. An action changes the verdict or an instant; a rule without one ends the
// judgement.
type rule struct {
	applies func(c *Controller, z *zone) bool
	act     func(c *Controller, z *zone)
}

// rules are gone through in this order.
var rules = []rule{
	{(*Controller).overrideHolds, nil},
	{(*Controller).peersAgree, (*Controller).followPeers},
	{(*Controller).flapsExpired, (*Controller).clearFlaps},
	// This proxy by itself.
	{(*Controller).standaloneLost, (*Controller).evacuateStandalone},
	{(*Controller).standaloneHoldDownOver, (*Controller).startStandaloneRamp},
	{(*Controller).standaloneTrialsFail, (*Controller).evacuateStandalone},
	{(*Controller).standaloneStepDone, (*Controller).advanceStandaloneRamp},
	{(*Controller).lacksQuorum, nil},
	// The fleet: what there are votes for, and since when.
	{(*Controller).suspicionOver, (*Controller).clearSuspicion},
	{(*Controller).suspicionBegins, (*Controller).setSuspected},
	{(*Controller).suspicionCorroborated, (*Controller).setCorroborated},
	{(*Controller).rampFailureOver, (*Controller).clearRampFailure},
	{(*Controller).rampFailureBegins, (*Controller).setRampFailing},
	// The fleet: the verdicts that follow.
	{(*Controller).lossConfirmed, (*Controller).evacuate},
	{(*Controller).partialEvacuationCompletable, (*Controller).completeEvacuation},
	{(*Controller).holdDownOver, (*Controller).startRamp},
	{(*Controller).rampFailureConfirmed, (*Controller).evacuateAgain},
	{(*Controller).rampOverloaded, (*Controller).stepBack},
	{(*Controller).rampStepDone, (*Controller).stepForward},
}

// maxRuleApplications bounds the judgement of a zone in one tick. It takes a few; two rules that undo each other would
// go on for ever.
const maxRuleApplications = 100

// evaluate applies rules to a zone until none applies, one without an action does, or a verdict is proposed.
func (c *Controller) evaluate(z *zone) {
	z.proposal = nil
	for range maxRuleApplications {
		if !c.applyFirstRule(z) {
			return
		}
	}
	c.log("zone %s: judging does not come to an end, and goes on with the next tick", z.name)
}

// applyFirstRule reports whether it has changed something that the rules have to be gone through again for.
func (c *Controller) applyFirstRule(z *zone) bool {
	c.countVotes(z)
	for i := range rules {
		r := &rules[i]
		if !r.applies(c, z) {
			continue
		}
		if r.act == nil {
			return false
		}
		r.act(c, z)
		return z.proposal == nil
	}
	return false
}

func (c *Controller) overrideHolds(z *zone) bool { return z.override.Mode == OverrideHold }

func (c *Controller) lacksQuorum(z *zone) bool { return !c.hasQuorum(z) }
