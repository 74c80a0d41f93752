package zonehealth

import "fmt"

const (
	stallThreshold    = Second / 4 // between two ticks: this process was stalled, and answers may be unread
	evidenceLostAfter = Second     // between two ticks: unanswered attempts from before are forgotten
)

// Controller is the controller of one proxy. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	now      Time
	tickedAt Time

	nodes             []*node // by the caller's index; nil: none is listed
	excludedNodeCount int     // nodes with an exclusion
	zones             []*zone // by name; one that loses its last node stays while there is something to remember
	fleet             fleetView
	latency           latencyEstimate
	origin            attemptCounts // fetches from the origin, in time or late
	load              proxyLoad

	standaloneCounts StandaloneCounts
	decisions        []Decision

	// Memory of agreedVerdict.
	adoptedVerdicts, latestVerdicts []*Verdict
}

// New returns a controller that knows no nodes and no peers.
func New(now Time, settings Settings) *Controller {
	return &Controller{
		settings: settings, now: now, tickedAt: now, fleet: newFleetView(), latency: newLatencyEstimate(settings.ShortestObjective),
	}
}

// begin starts the decisions of a call. The clock never goes back.
func (c *Controller) begin(now Time) { c.now, c.decisions = max(now, c.now), c.decisions[:0] }

func (c *Controller) decide(d Decision) { c.decisions = append(c.decisions, d) }

func (c *Controller) log(format string, args ...any) {
	c.decide(Decision{Action: Log, Text: fmt.Sprintf(format, args...)})
}

// Tick judges all zones by the time that has passed. The caller calls it ten times a second while there is
// something to do.
func (c *Controller) Tick(now Time) []Decision {
	c.begin(now)
	c.adjustForStall(c.now - c.tickedAt)
	c.tickedAt = c.now
	c.countOverdue()
	for _, z := range c.zones {
		c.evaluate(z)
	}
	c.applyServedFractions()
	for _, z := range c.zones {
		if c.needsProbe(z) {
			c.probe(z)
		}
		c.publish(z)
	}
	return c.decisions
}

// adjustForStall keeps attempts from becoming overdue, and old evidence from counting, where the previous tick is
// long ago.
func (c *Controller) adjustForStall(sinceTick Time) {
	if sinceTick > stallThreshold {
		for _, n := range c.nodes {
			if n != nil && n.waitingSince > 0 {
				n.waitingSince += sinceTick
			}
		}
	}
	if sinceTick > evidenceLostAfter {
		for _, z := range c.zones {
			z.evidence.clearRun()
			z.confirmation.clearSuspicion()
		}
	}
}

// countOverdue counts the attempts that have become overdue as unanswered, one for each node.
func (c *Controller) countOverdue() {
	overdue := c.overdue()
	for _, n := range c.nodes {
		if n != nil && n.becameOverdue(c.now, overdue) {
			n.overdue = true
			n.zone.evidence.addUnanswered(n.hash, c.now)
		}
	}
}

// NeedsTick reports whether Tick has something to do. Without peers it has not while all zones are in service and answer.
func (c *Controller) NeedsTick() bool {
	for _, z := range c.zones {
		if z.evidence.unansweredRun > 0 || z.standalone.verdict.State != InService || z.verdict.State != InService {
			return true
		}
	}
	return c.fleet.hasPeers()
}
