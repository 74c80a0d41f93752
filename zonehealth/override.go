package zonehealth

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// OverrideMode is what an operator's override makes of a zone. Of two overrides of one epoch the greater takes precedence.
type OverrideMode uint8

const (
	// OverrideAuto leaves the zone to the evidence.
	OverrideAuto OverrideMode = iota
	// OverrideIn keeps the zone in service.
	OverrideIn
	// OverrideHold keeps the verdict on the zone as it is.
	OverrideHold
	// OverrideOut keeps the zone out of service. Attempts in flight there are not cancelled.
	OverrideOut
)

// OverrideModes are the kinds of override by the names that operators use.
var OverrideModes = map[string]OverrideMode{"auto": OverrideAuto, "in": OverrideIn, "hold": OverrideHold, "out": OverrideOut}

// String returns the name that operators use.
func (w OverrideMode) String() string { return [...]string{"auto", "in", "hold", "out"}[w&3] }

// Override is an operator's override for a zone. Of two the one with the later epoch takes precedence, then the one of
// the stricter kind: out, hold, in, auto.
type Override struct {
	Zone  string
	Mode  OverrideMode
	Epoch int64  // from 1; one more than that of the override that it replaces
	Proxy string // name of the proxy that the operator called
	Force bool   // take the zone out of service even if no zone is left
}

// SetOverride takes an override, of this proxy's operator or by gossip. One of an unknown zone, or that does not take
// precedence over the present one, is ignored.
func (c *Controller) SetOverride(now Time, override Override) []Decision {
	c.begin(now)
	z := c.findOrAddZone(override.Zone)
	if z == nil || override.Mode > OverrideOut || override.Epoch < 1 || compareOverrides(&override, &z.override) <= 0 {
		return c.decisions
	}
	previous := z.override.Mode
	override.Zone, override.Proxy = z.name, strings.Clone(override.Proxy)
	z.override = override
	z.confirmation.clearSuspicion()
	if override.Mode != previous {
		c.log("zone %s: override %v set at proxy %s (override %d, previously %v)",
			z.name, override.Mode, override.Proxy, override.Epoch, previous)
	}
	if previous == OverrideOut && override.Mode == OverrideAuto && z.verdict.State == InService {
		c.rampAfterOverride(z)
	}
	c.applyServedFractions()
	return c.decisions
}

// rampAfterOverride starts a recovery ramp in a zone that was out of service by override: its nodes may have been
// restarted, and all of its keys at once would overload them.
func (c *Controller) rampAfterOverride(z *zone) {
	if c.fleet.hasPeers() {
		c.adopt(z, z.verdict.successor(Returning, 0), reasonOverrideLifted)
	} else {
		c.setStandalone(z, Returning, standaloneFirstStep)
	}
}

func compareOverrides(a, b *Override) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Mode, b.Mode))
}

// CheckOverride returns what forbids to set an override for the named zones, in words for the operator, "" if nothing does. A
// non-negative epoch has to be that of the present override of each of the zones (0: none). Taking the last zone out of
// service is forbidden unless force is set.
func CheckOverride(statuses []ZoneStatus, names []string, want OverrideMode, epoch int64, force bool) string {
	for _, name := range names {
		i := slices.IndexFunc(statuses, func(s ZoneStatus) bool { return s.Name == name })
		if i < 0 {
			return fmt.Sprintf("zone %q: no node has it", name)
		}
		if current := statuses[i].Override.Epoch; epoch >= 0 && current != epoch {
			return fmt.Sprintf("zone %q: order %d does not stand, but %d", name, epoch, current)
		}
	}
	if want == OverrideOut && !force && !servesWithout(statuses, names) {
		return fmt.Sprintf("zone %q: no other zone would be left in", names[0])
	}
	return ""
}

// servesWithout reports whether a zone that is not among the named ones serves keys, and is not overridden to be out.
func servesWithout(statuses []ZoneStatus, names []string) bool {
	return slices.ContainsFunc(statuses, func(s ZoneStatus) bool {
		return s.Nodes > 0 && !slices.Contains(names, s.Name) && s.OpenShare > 0 && s.Override.Mode != OverrideOut
	})
}
