package zonehealth

// rule is a condition on a zone with the action to take if it is true. An action changes the verdict, a timestamp or
// other state of the zone. A rule without an action ends the evaluation of the zone.
type rule struct {
	applies func(c *Controller, z *zone) bool
	act     func(c *Controller, z *zone)
}

// rules are checked in this order, from the first rule again after each action.
var rules = []rule{
	{(*Controller).overrideHolds, nil},
	{(*Controller).peersAgree, (*Controller).followPeers},
	{(*Controller).flapsExpired, (*Controller).clearFlaps},
	// Standalone decisions of this proxy.
	{(*Controller).standaloneLost, (*Controller).evacuateStandalone},
	{(*Controller).standaloneHoldDownOver, (*Controller).startStandaloneRamp},
	{(*Controller).standaloneTrialsFail, (*Controller).evacuateStandalone},
	{(*Controller).standaloneStepDone, (*Controller).advanceStandaloneRamp},
	{(*Controller).lacksQuorum, nil},
	// Decisions of the fleet: the conditions of a verdict, and since when they have been met.
	{(*Controller).suspicionOver, (*Controller).clearSuspicion},
	{(*Controller).suspicionBegins, (*Controller).setSuspected},
	{(*Controller).suspicionCorroborated, (*Controller).setCorroborated},
	{(*Controller).rampFailureOver, (*Controller).clearRampFailure},
	{(*Controller).rampFailureBegins, (*Controller).setRampFailing},
	// Decisions of the fleet: the resulting verdicts.
	{(*Controller).lossConfirmed, (*Controller).evacuate},
	{(*Controller).partialEvacuationCompletable, (*Controller).completeEvacuation},
	{(*Controller).holdDownOver, (*Controller).startRamp},
	{(*Controller).rampFailureConfirmed, (*Controller).evacuateAgain},
	{(*Controller).rampOverloaded, (*Controller).stepBack},
	{(*Controller).rampStepDone, (*Controller).stepForward},
}

// maxRuleApplications is the maximum number of actions in one evaluation of a zone. An evaluation usually takes a few;
// without the limit, two rules that undo each other would loop forever.
const maxRuleApplications = 100

// evaluate applies rules to a zone until no rule applies, a rule without an action applies, or a verdict is proposed.
func (c *Controller) evaluate(z *zone) {
	z.proposal = nil
	for range maxRuleApplications {
		if !c.applyFirstRule(z) {
			return
		}
	}
	c.log("zone %s: the rules did not settle; evaluation continues with the next tick", z.name)
}

// applyFirstRule applies the first rule whose condition is true. It reports whether the rules must be checked again.
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
