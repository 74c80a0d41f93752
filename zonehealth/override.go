package zonehealth

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Want is what an operator's override makes of a zone. Of two overrides of one epoch the greater takes precedence.
type Want uint8

const (
	// Auto leaves the zone to the evidence.
	Auto Want = iota
	// KeepIn keeps the zone in service.
	KeepIn
	// Held keeps the verdict on the zone as it is.
	Held
	// KeepOut keeps the zone out of service. Attempts in flight there are not cancelled.
	KeepOut
)

// Wants are the kinds of override by the names that operators use.
var Wants = map[string]Want{"auto": Auto, "in": KeepIn, "hold": Held, "out": KeepOut}

// String returns the name that operators use.
func (w Want) String() string { return [...]string{"auto", "in", "hold", "out"}[w&3] }

// Order is an operator's override for a zone. Of two the one with the later epoch takes precedence, then the one of
// the stricter kind: out, hold, in, auto.
type Order struct {
	Zone  string
	Want  Want
	Epoch int64  // from 1; one more than that of the override that it replaces
	By    string // name of the proxy that the operator called
	Force bool   // take the zone out of service even if no zone is left
}

// Order takes an override, of this proxy's operator or by gossip. One of an unknown zone, or that does not take
// precedence over the present one, is ignored.
func (c *Instance) Order(now Time, override Order) []Decision {
	c.begin(now)
	z := c.findOrAddZone(override.Zone)
	if z == nil || override.Want > KeepOut || override.Epoch < 1 || compareOverrides(&override, &z.override) <= 0 {
		return c.decisions
	}
	previous := z.override.Want
	override.Zone, override.By = z.name, strings.Clone(override.By)
	z.override = override
	z.confirmation.clearSuspicion()
	if override.Want != previous {
		c.log("zone %s: override %v set at proxy %s (override %d, previously %v)",
			z.name, override.Want, override.By, override.Epoch, previous)
	}
	if previous == KeepOut && override.Want == Auto && z.verdict.State == In {
		c.rampAfterOverride(z)
	}
	c.applyShares()
	return c.decisions
}

// rampAfterOverride starts a recovery ramp in a zone that was out of service by override: its nodes may have been
// restarted, and all of its keys at once would overload them.
func (c *Instance) rampAfterOverride(z *zone) {
	if c.fleet.hasPeers() {
		c.adopt(z, z.verdict.successor(Returning, 0), reasonOverrideLifted)
	} else {
		c.setStandalone(z, Returning, standaloneFirstStep)
	}
}

func compareOverrides(a, b *Order) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Want, b.Want))
}

// Check returns what forbids to set an override for the named zones, in words for the operator, "" if nothing does. A
// non-negative epoch has to be that of the present override of each of the zones (0: none). Taking the last zone out of
// service is forbidden unless force is set.
func Check(statuses []Shown, names []string, want Want, epoch int64, force bool) string {
	for _, name := range names {
		i := slices.IndexFunc(statuses, func(s Shown) bool { return s.Name == name })
		if i < 0 {
			return fmt.Sprintf("zone %q: no node has it", name)
		}
		if current := statuses[i].Order.Epoch; epoch >= 0 && current != epoch {
			return fmt.Sprintf("zone %q: order %d does not stand, but %d", name, epoch, current)
		}
	}
	if want == KeepOut && !force && !servesWithout(statuses, names) {
		return fmt.Sprintf("zone %q: no other zone would be left in", names[0])
	}
	return ""
}

// servesWithout reports whether a zone that is not among the named ones serves keys, and is not overridden to be out.
func servesWithout(statuses []Shown, names []string) bool {
	return slices.ContainsFunc(statuses, func(s Shown) bool {
		return s.Nodes > 0 && !slices.Contains(names, s.Name) && s.Open > 0 && s.Order.Want != KeepOut
	})
}
