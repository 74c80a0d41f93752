package zonehealth

// confirmation holds since when the conditions of a verdict have been met. Each has to last for the confirmation time, and is 0
// while it is not met.
type confirmation struct {
	suspectedAt    Time // there are enough unhealthy votes
	corroboratedAt Time // another zone is known to have answered after that
	rampFailingAt  Time // attempts of a recovery ramp are unanswered
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
