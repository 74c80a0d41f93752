package zonehealth

import (
	"fmt"
	"slices"
)

// flapMemory is the time since the latest evacuation after which a zone in service is no longer considered flapping and
// its flaps are cleared.
const flapMemory = 60 * Second

// Reasons for verdicts, for the log.
const (
	reasonCapacity       = "the other zones have capacity"
	reasonNoCapacity     = "the other zones lack capacity for all of it: low-priority requests are rejected"
	reasonCapacityFound  = "the other zones have capacity by now" // after a partial evacuation
	reasonTrials         = "trial requests of the whole fleet"
	reasonUnanswered     = "attempts are unanswered"
	reasonAnswersLate    = "answers are late"
	reasonAnswersInTime  = "answers are in time"
	reasonOverrideLifted = "override out removed"
)

func (c *Controller) lossConfirmed(z *zone) bool {
	at := z.confirmation.corroboratedAt
	return at > 0 && c.now-at >= c.settings.ConfirmationTime && c.anotherZoneServes(z)
}

// evacuate proposes to evacuate a zone. The evacuation is partial if the other zones lack capacity and some nodes of the
// zone respond.
func (c *Controller) evacuate(z *zone) {
	verdict := z.verdict.successor(Evacuated, 0)
	// A failure of the first trial requests does not count as a flap: the zone has been lost all the time.
	if z.verdict.Step > 0 || z.verdict.State == InService && c.now-z.evacuatedAt < flapMemory {
		verdict = z.verdict.flappingSuccessor(Evacuated, 0)
	}
	if c.othersHaveCapacity(z) {
		c.propose(z, verdict, reasonCapacity)
		return
	}
	reason := reasonNoCapacity
	if healthy := z.votes.healthyNodes; len(healthy) > 0 {
		verdict.State, verdict.RetainedNodes = PartlyEvacuated, slices.Clone(healthy[:min(len(healthy), maxRetainedNodes)])
		reason += fmt.Sprintf(", %d nodes that answer stay in service", len(verdict.RetainedNodes))
	}
	c.propose(z, verdict, reason)
}

func (c *Controller) partialEvacuationCompletable(z *zone) bool {
	return z.verdict.State == PartlyEvacuated && c.othersHaveCapacity(z)
}

func (c *Controller) completeEvacuation(z *zone) {
	c.propose(z, z.verdict.successor(Evacuated, 0), reasonCapacityFound)
}

// othersHaveCapacity reports whether the other zones can take all attempts in flight, according to the loads of a
// majority of the proxies. A node in slow start counts with the fraction of its normal load that it sustains.
func (c *Controller) othersHaveCapacity(z *zone) bool {
	serving, all := 0.0, 0.0
	for _, n := range c.nodes {
		if n == nil || n.zone == nil {
			continue
		}
		all++
		if n.zone != z {
			serving += c.effectiveServedFraction(n.zone) * c.slowStartFraction(n)
		}
	}
	fraction := serving / max(all, 1)
	fitting, proxies := countIf(c.load.inFlight <= c.load.capacity*fraction), 1
	for r := range c.reachableReports(z) {
		if r.fresh(c.now) {
			fitting += countIf(float64(r.InFlight) <= float64(r.Capacity)*fraction)
			proxies++
		}
	}
	return 2*fitting > proxies
}

// anotherZoneServes reports whether another zone with nodes serves keys. The last zone that serves keys is never
// evacuated.
func (c *Controller) anotherZoneServes(z *zone) bool {
	return slices.ContainsFunc(c.zones, func(other *zone) bool {
		return other != z && other.nodes > 0 && c.effectiveServedFraction(other) > 0
	})
}

func (c *Controller) flapsExpired(z *zone) bool {
	return z.verdict.Flaps > 0 && z.verdict.State == InService && c.now-z.evacuatedAt >= flapMemory
}

func (c *Controller) clearFlaps(z *zone) { z.verdict.Flaps = 0 }

func (c *Controller) holdDownOver(z *zone) bool {
	return z.verdict.State >= PartlyEvacuated && c.now-z.verdictAt >= c.settings.holdDownTime(&z.verdict)
}
