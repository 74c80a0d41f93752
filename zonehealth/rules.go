package zonehealth

// rule is one step of the judgement of a zone. An action changes the verdict or an instant; a rule without one ends the
// judgement.
type rule struct {
	applies func(c *Instance, z *zone) bool
	act     func(c *Instance, z *zone)
}

// rules are gone through in this order.
var rules = []rule{
	{(*Instance).overrideHolds, nil},
	{(*Instance).peersAgree, (*Instance).followPeers},
	{(*Instance).flapsExpired, (*Instance).clearFlaps},
	// This proxy by itself.
	{(*Instance).standaloneLost, (*Instance).evacuateStandalone},
	{(*Instance).standaloneHoldDownOver, (*Instance).startStandaloneRamp},
	{(*Instance).standaloneTrialsFail, (*Instance).evacuateStandalone},
	{(*Instance).standaloneStepDone, (*Instance).advanceStandaloneRamp},
	{(*Instance).lacksQuorum, nil},
	// The fleet: what there are votes for, and since when.
	{(*Instance).suspicionOver, (*Instance).clearSuspicion},
	{(*Instance).suspicionBegins, (*Instance).setSuspected},
	{(*Instance).suspicionCorroborated, (*Instance).setCorroborated},
	{(*Instance).rampFailureOver, (*Instance).clearRampFailure},
	{(*Instance).rampFailureBegins, (*Instance).setRampFailing},
	// The fleet: the verdicts that follow.
	{(*Instance).lossConfirmed, (*Instance).evacuate},
	{(*Instance).partEvacuationCompletable, (*Instance).completeEvacuation},
	{(*Instance).holdDownOver, (*Instance).startRamp},
	{(*Instance).rampFailureConfirmed, (*Instance).evacuateAgain},
	{(*Instance).rampOverloaded, (*Instance).stepBack},
	{(*Instance).rampStepDone, (*Instance).stepForward},
}

// judge applies rules to a zone until none applies, one without an action does, or a verdict is proposed.
func (c *Instance) judge(z *zone) {
	z.proposal = nil
	for again := true; again; {
		again = c.applyFirstRule(z)
	}
}

// applyFirstRule reports whether it has changed something that the rules have to be gone through again for.
func (c *Instance) applyFirstRule(z *zone) bool {
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

func (c *Instance) overrideHolds(z *zone) bool { return z.override.Want == Held }

func (c *Instance) lacksQuorum(z *zone) bool { return !c.hasQuorum(z) }
