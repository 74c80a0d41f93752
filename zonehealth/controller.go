package zonehealth

import "fmt"

const (
	stallThreshold    = Second / 4 // tick interval above which the process was stalled and responses may be unread
	evidenceLostAfter = Second     // tick interval above which earlier unanswered attempts are discarded
)

// Controller makes the zone health decisions of one proxy. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	now      Time
	tickedAt Time

	nodes             []*node // by the caller's index; nil if no node is listed
	excludedNodeCount int     // number of nodes with an exclusion
	zones             []*zone // sorted by name; includes zones without nodes until removeUnusedZones removes them
	fleet             fleetView
	latency           latencyEstimate
	origin            attemptCounts // fetches from the origin, in time and late
	load              proxyLoad

	standaloneCounts StandaloneCounts
	decisions        []Decision

	// Slices that agreedVerdict reuses.
	adoptedVerdicts, latestVerdicts []*Verdict
}

// New returns a controller without nodes and peers.
func New(now Time, settings Settings) *Controller {
	return &Controller{
		settings: settings, now: now, tickedAt: now, fleet: newFleetView(),
		latency: newLatencyEstimate(settings.ShortestObjective),
	}
}

// begin starts a call: it advances the time, which never goes backward, and clears the decisions of the previous call.
func (c *Controller) begin(now Time) { c.now, c.decisions = max(now, c.now), c.decisions[:0] }

func (c *Controller) decide(d Decision) { c.decisions = append(c.decisions, d) }

func (c *Controller) log(format string, args ...any) {
	c.decide(Decision{Action: Log, Text: fmt.Sprintf(format, args...)})
}

// Tick advances the time and evaluates all zones. The caller calls it ten times a second while NeedsTick returns true.
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

// adjustForStall adjusts the state after a long interval between two ticks: the interval does not count toward the time
// after which attempts are overdue, and evidence from before a longer interval is discarded.
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

// countOverdue counts attempts that have become overdue as unanswered, one per node.
func (c *Controller) countOverdue() {
	overdue := c.overdueTime()
	for _, n := range c.nodes {
		if n != nil && n.becameOverdue(c.now, overdue) {
			n.overdue = true
			n.zone.evidence.addUnanswered(n.hash, c.now)
		}
	}
}

// NeedsTick reports whether Tick must be called. Without peers it need not be called while all zones are in service and
// respond.
func (c *Controller) NeedsTick() bool {
	for _, z := range c.zones {
		if z.evidence.unansweredRun > 0 || z.standalone.verdict.State != InService || z.verdict.State != InService {
			return true
		}
	}
	return c.fleet.hasPeers()
}
