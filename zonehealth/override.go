package zonehealth

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// OverrideMode is the effect of an operator's override on a zone. Of two overrides with the same epoch, the one with the
// greater mode takes precedence.
type OverrideMode uint8

const (
	// OverrideAuto does not override: the evidence decides.
	OverrideAuto OverrideMode = iota
	// OverrideIn keeps the zone in service.
	OverrideIn
	// OverrideHold keeps the current verdict on the zone.
	OverrideHold
	// OverrideOut keeps the zone out of service. Attempts in flight in the zone are not canceled.
	OverrideOut
)

// OverrideModes maps the names that operators use to override modes.
var OverrideModes = map[string]OverrideMode{"auto": OverrideAuto, "in": OverrideIn, "hold": OverrideHold, "out": OverrideOut}

// String returns the name of the mode that operators use.
func (m OverrideMode) String() string { return [...]string{"auto", "in", "hold", "out"}[m&3] }

// Override is an operator's override for a zone. Of two overrides, the one with the later epoch takes precedence, then
// the one with the stricter mode, in the order out, hold, in, auto.
type Override struct {
	Zone  string
	Mode  OverrideMode
	Epoch int64  // from 1; the epoch of the override that it replaces plus 1
	Proxy string // name of the proxy that received the operator's command
	Force bool   // take the zone out of service even if no other zone serves keys
}

// SetOverride sets an override that was received from an operator or by gossip. An invalid override, one for a zone
// beyond the maximum number of zones, and one that does not take precedence over the current override are ignored.
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

// rampAfterOverride starts a recovery ramp in a zone that an override kept out of service. Its nodes may have been
// restarted, and the load of all keys at once would overload them.
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

// CheckOverride returns the reason why an override must not be set for the named zones, as a text for the operator, or
// "" if it may be set. A non-negative epoch must equal the epoch of the current override of each zone, which is 0 if
// there is none. Taking the last zone out of service is not allowed unless force is set.
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

// servesWithout reports whether a zone other than the named ones serves keys and has no override out.
func servesWithout(statuses []ZoneStatus, names []string) bool {
	return slices.ContainsFunc(statuses, func(s ZoneStatus) bool {
		return s.Nodes > 0 && !slices.Contains(names, s.Name) && s.ServedFraction > 0 && s.Override.Mode != OverrideOut
	})
}
