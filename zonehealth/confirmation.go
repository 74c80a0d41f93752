package zonehealth

// confirmation holds the times since which the conditions of a verdict have been met, 0 for a condition that is not met.
// A verdict is proposed after its condition has been met for the confirmation time.
type confirmation struct {
	suspectedAt    Time // since when there have been enough unhealthy votes
	corroboratedAt Time // since when another zone is known to have responded after suspectedAt
	rampFailingAt  Time // since when attempts of a recovery ramp have been unanswered
}

func (s *confirmation) clearSuspicion() { s.suspectedAt, s.corroboratedAt = 0, 0 }

func (c *Controller) suspicionOver(z *zone) bool {
	return z.confirmation.suspectedAt > 0 && !c.lossSuspected(z)
}

func (c *Controller) clearSuspicion(z *zone) { z.confirmation.clearSuspicion() }

func (c *Controller) suspicionBegins(z *zone) bool {
	return z.confirmation.suspectedAt == 0 && z.verdict.State < PartlyEvacuated && c.lossSuspected(z)
}

func (c *Controller) setSuspected(z *zone) { z.confirmation.suspectedAt = c.now }

func (c *Controller) suspicionCorroborated(z *zone) bool {
	s := &z.confirmation
	return s.suspectedAt > 0 && s.corroboratedAt == 0 && c.anotherZoneResponded(z, s.suspectedAt)
}

func (c *Controller) setCorroborated(z *zone) { z.confirmation.corroboratedAt = c.now }

func (c *Controller) rampFailureOver(z *zone) bool {
	return z.confirmation.rampFailingAt > 0 && !c.rampFailing(z)
}

func (c *Controller) clearRampFailure(z *zone) { z.confirmation.rampFailingAt = 0 }

func (c *Controller) rampFailureBegins(z *zone) bool {
	return z.confirmation.rampFailingAt == 0 && c.rampFailing(z)
}

func (c *Controller) setRampFailing(z *zone) { z.confirmation.rampFailingAt = c.now }
