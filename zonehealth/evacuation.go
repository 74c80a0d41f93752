package zonehealth

import (
	"fmt"
	"slices"
)

// flapMemory is how long after an evacuation a zone is in service until its flaps are forgotten.
const flapMemory = 60 * Second

// Reasons of verdicts, for the log.
const (
	reasonCapacity       = "the other zones have capacity"
	reasonNoCapacity     = "the other zones lack capacity for all of it: low-priority requests are rejected"
	reasonCapacityFound  = "the other zones have capacity by now"
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

// evacuate proposes to evacuate a zone: partly, where the others lack capacity and some of its nodes answer.
func (c *Controller) evacuate(z *zone) {
	verdict := z.verdict.successor(Evacuated, 0)
	// A zone whose first trial requests find it still lost does not flap.
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

// othersHaveCapacity reports whether the other zones can take all attempts in flight, in the view of most proxies,
// each by its own load. A node in slow start counts by the share of its work that it bears.
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
	share := serving / max(all, 1)
	fitting, proxies := countIf(c.load.inFlight <= c.load.capacity*share), 1
	for r := range c.reachableReports(z) {
		if r.fresh(c.now) {
			fitting += countIf(float64(r.InFlight) <= float64(r.Capacity)*share)
			proxies++
		}
	}
	return 2*fitting > proxies
}

// anotherZoneServes reports whether another zone with nodes serves keys: the last one is never evacuated.
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
