package zonehealth

import "slices"

// effectiveServedFraction returns the fraction of its keys that a zone serves. The overrides out and in take precedence.
// Without them, the fraction is 1 if this proxy is in the zone and receives responses there, and otherwise the lower of
// the fractions of the fleet's verdict and the standalone verdict.
func (c *Controller) effectiveServedFraction(z *zone) float64 {
	switch {
	case z.override.Mode == OverrideOut:
		return 0
	case z.override.Mode == OverrideIn, c.servedLocally(z):
		return 1
	}
	return min(z.verdict.servedFraction(), z.standalone.verdict.servedFraction())
}

// servedLocally reports whether this proxy is in a zone and receives responses there. If so, the verdicts on the zone do
// not affect this proxy.
func (c *Controller) servedLocally(z *zone) bool {
	return z.name == c.settings.Zone && c.now-z.evidence.lastResponseAt < evidenceWindow
}

// applyServedFractions updates the served fraction of each zone and the exclusions of its nodes.
func (c *Controller) applyServedFractions() {
	noZoneServes, allServeFully := c.noZoneServes(), true
	for _, z := range c.zones {
		fraction := c.effectiveServedFraction(z)
		if forcedOut := z.override.Mode == OverrideOut && z.override.Force; noZoneServes && !forcedOut {
			fraction = 1 // evidence that all zones are lost is assumed to be wrong
		}
		c.setServedFraction(z, fraction)
		allServeFully = allServeFully && z.servedFraction == 1
	}
	if allServeFully && c.excludedNodeCount == 0 {
		return // the usual case: no node is excluded, and none has to be
	}
	for i, n := range c.nodes {
		if n != nil {
			c.updateExclusion(i, n)
		}
	}
}

// noZoneServes reports whether no zone with nodes serves any keys and every node is in a zone.
func (c *Controller) noZoneServes() bool {
	for _, z := range c.zones {
		if z.nodes > 0 && c.effectiveServedFraction(z) != 0 {
			return false
		}
	}
	return !slices.ContainsFunc(c.nodes, func(n *node) bool { return n != nil && n.zone == nil })
}

func (c *Controller) setServedFraction(z *zone, fraction float64) {
	if fraction != z.servedFraction && z.nodes > 0 {
		z.servedFraction = fraction
		c.log("zone %s: %.3f of its keys are served there, by %d nodes", z.name, fraction, z.nodes)
	}
}

// updateExclusion updates the exclusion of a node to the served fraction of its zone. Attempts in flight at an excluded
// node are canceled unless an operator has taken the zone out of service.
func (c *Controller) updateExclusion(index int, n *node) {
	fraction, cancel := 0.0, false
	if z := n.zone; z != nil {
		retained := z.verdict.State == PartlyEvacuated && slices.Contains(z.verdict.RetainedNodes, n.hash)
		if !retained {
			fraction = 1 - z.servedFraction
		}
		cancel = fraction > 0 && z.override.Mode != OverrideOut
	}
	if fraction != n.excludedFraction || cancel != n.cancelInFlight {
		c.setExclusion(n, fraction, cancel)
		c.decide(Decision{Action: ExcludeNode, Node: index, ExcludedFraction: fraction, CancelInFlight: cancel})
	}
}

// setExclusion sets the exclusion of a node and updates the number of excluded nodes.
func (c *Controller) setExclusion(n *node, fraction float64, cancel bool) {
	if n.excludedFraction != 0 || n.cancelInFlight {
		c.excludedNodeCount--
	}
	n.excludedFraction, n.cancelInFlight = fraction, cancel
	if fraction != 0 || cancel {
		c.excludedNodeCount++
	}
}
