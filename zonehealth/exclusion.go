package zonehealth

import "slices"

// effectiveServedFraction is the share of its keys that a zone serves by overrides, by the verdicts of the fleet and of
// this proxy, and for a proxy in the zone itself that still gets answers there.
func (c *Controller) effectiveServedFraction(z *zone) float64 {
	switch {
	case z.override.Mode == OverrideOut:
		return 0
	case z.override.Mode == OverrideIn, c.servedLocally(z):
		return 1
	}
	return min(z.verdict.servedFraction(), z.standalone.verdict.servedFraction())
}

// servedLocally reports whether this proxy is in a zone and gets answers there. The fleet's verdict does not affect
// it then.
func (c *Controller) servedLocally(z *zone) bool {
	return z.name == c.settings.Zone && c.now-z.evidence.lastResponseAt < evidenceWindow
}

// applyServedFractions decides the exclusion of each node for which it has changed.
func (c *Controller) applyServedFractions() {
	noZoneServes, allOpen := c.noZoneServes(), true
	for _, z := range c.zones {
		share := c.effectiveServedFraction(z)
		if forcedOut := z.override.Mode == OverrideOut && z.override.Force; noZoneServes && !forcedOut {
			share = 1 // evidence that all zones are lost is wrong
		}
		c.setServedFraction(z, share)
		allOpen = allOpen && z.servedFraction == 1
	}
	if allOpen && c.excludedNodeCount == 0 {
		return // as it is but for troubles: no node is excluded, or is to be
	}
	for i, n := range c.nodes {
		if n != nil {
			c.updateExclusion(i, n)
		}
	}
}

// noZoneServes reports whether no zone with nodes serves any keys, and all nodes are in zones.
func (c *Controller) noZoneServes() bool {
	for _, z := range c.zones {
		if z.nodes > 0 && c.effectiveServedFraction(z) != 0 {
			return false
		}
	}
	return !slices.ContainsFunc(c.nodes, func(n *node) bool { return n != nil && n.zone == nil })
}

func (c *Controller) setServedFraction(z *zone, share float64) {
	if share != z.servedFraction && z.nodes > 0 {
		z.servedFraction = share
		c.log("zone %s: %.3f of its keys are served there, by %d nodes", z.name, share, z.nodes)
	}
}

// updateExclusion decides the exclusion of a node from its zone's open share. Attempts in flight are cancelled unless
// an operator has taken the zone out of service.
func (c *Controller) updateExclusion(index int, n *node) {
	share, cancel := 0.0, false
	if z := n.zone; z != nil {
		retained := z.verdict.State == PartlyEvacuated && slices.Contains(z.verdict.RetainedNodes, n.hash)
		if !retained {
			share = 1 - z.servedFraction
		}
		cancel = share > 0 && z.override.Mode != OverrideOut
	}
	if share != n.excludedFraction || cancel != n.cancelInFlight {
		c.setExclusion(n, share, cancel)
		c.decide(Decision{Action: ExcludeNode, Node: index, ExcludedFraction: share, CancelInFlight: cancel})
	}
}

// setExclusion sets a node's exclusion.
func (c *Controller) setExclusion(n *node, share float64, cancel bool) {
	if n.excludedFraction != 0 || n.cancelInFlight {
		c.excludedNodeCount--
	}
	n.excludedFraction, n.cancelInFlight = share, cancel
	if share != 0 || cancel {
		c.excludedNodeCount++
	}
}
