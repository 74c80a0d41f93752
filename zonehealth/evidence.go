package zonehealth

import (
	"math"
	"slices"
)

const (
	minUnconnectedNodes  = 2              // that refuse connections, for a standalone evacuation of a zone of so many
	evidenceRecent       = 3 * Second / 2 // the time that votes and decisions are about
	attemptCountHalfLife = 2 * Second
	latencySmoothing     = 32 // an answer weighs one part in so many in the moving averages of the latency
	latencyDeviations    = 4  // above the mean latency, from which on an attempt is overdue
	overdueMargin        = Second / 100
	overdueFloorDivisor  = 8  // an attempt is not overdue before this part of the shortest objective
	initialMeanDivisor   = 8  // the mean latency before the first answer is this part of the shortest objective,
	initialDevDivisor    = 16 // and its deviation this one
)

// attemptCounts are numbers of recent attempts by outcome. They decay by half in attemptCountHalfLife.
type attemptCounts struct {
	inTime, late, unanswered float64
	at                       Time // of the latest decay
}

func (a *attemptCounts) decay(now Time) {
	factor := math.Exp2(-float64(now-a.at) / float64(attemptCountHalfLife))
	a.inTime, a.late, a.unanswered, a.at = a.inTime*factor, a.late*factor, a.unanswered*factor, now
}

// latencyEstimate holds moving averages of the latency of answers in time, in units of Time.
type latencyEstimate struct{ mean, deviation float64 }

func newLatencyEstimate(shortestObjective Time) latencyEstimate {
	return latencyEstimate{
		mean:      float64(shortestObjective) / initialMeanDivisor,
		deviation: float64(shortestObjective) / initialDevDivisor,
	}
}

func (l *latencyEstimate) add(latency Time) {
	difference := float64(latency) - l.mean
	l.mean += difference / latencySmoothing
	l.deviation += (math.Abs(difference) - l.deviation) / latencySmoothing
}

// overdue is the time after which an attempt counts as unanswered.
func (l *latencyEstimate) overdue(shortestObjective Time) Time {
	expected := Time(l.mean+latencyDeviations*l.deviation) + overdueMargin
	return min(max(expected, shortestObjective/overdueFloorDivisor), shortestObjective)
}

// localEvidence is what this proxy's own attempts tell about a zone.
type localEvidence struct {
	answeredAt       Time     // the latest answer
	inTimeAt         Time     // the latest answer in time
	unansweredAt     Time     // the latest unanswered attempt
	runStartedAt     Time     // the first unanswered attempt since the latest answer
	unansweredRun    int      // unanswered attempts since the latest answer
	unhealthyNodes   []uint32 // hashes of names of the nodes that did not answer these
	unconnectedNodes []uint32 // likewise of nodes that refused a connection since one was opened or an answer arrived
	counts           attemptCounts
}

func newLocalEvidence(now Time) localEvidence {
	never := now - distantPast
	return localEvidence{answeredAt: never, inTimeAt: never, unansweredAt: never}
}

// clearRun forgets the unanswered attempts, as after an answer.
func (e *localEvidence) clearRun() {
	e.unansweredRun, e.unhealthyNodes, e.unconnectedNodes = 0, e.unhealthyNodes[:0], e.unconnectedNodes[:0]
}

// restart forgets all that is counted, so that what is counted from now on is about a new verdict.
func (e *localEvidence) restart(now Time) {
	e.counts = attemptCounts{at: now}
	e.clearRun()
}

// addUnanswered counts an unanswered attempt at a node.
func (e *localEvidence) addUnanswered(node uint32, now Time) {
	if e.unansweredRun == 0 {
		e.runStartedAt = now
	}
	e.unansweredRun++
	e.unansweredAt = now
	if len(e.unhealthyNodes) < maxCoveredNodes {
		e.unhealthyNodes = appendMissing(e.unhealthyNodes, node)
	}
}

// addUnconnected notes that a node refused a connection.
func (e *localEvidence) addUnconnected(node uint32) {
	if len(e.unconnectedNodes) < minUnconnectedNodes {
		e.unconnectedNodes = appendMissing(e.unconnectedNodes, node)
	}
}

// Sent reports that an attempt was sent to the node of an index.
func (c *Instance) Sent(now Time, index int) {
	if n := c.node(index); n != nil {
		if n.inFlight++; n.inFlight == 1 {
			n.waitingSince, n.overdue = now, false
		}
	}
}

// Ended reports the outcome of an attempt that was reported by Sent, and the time since then. Decisions that follow
// from it are returned by the next Tick.
func (c *Instance) Ended(now Time, index int, outcome Ending, elapsed Time) {
	n := c.node(index)
	if n == nil {
		return
	}
	n.inFlight = max(n.inFlight-1, 0)
	if n.zone == nil {
		return
	}
	n.zone.evidence.counts.decay(now)
	switch outcome {
	case Answered, Late:
		c.attemptAnswered(n, now, outcome, elapsed)
	case Undone, Nothing, Shut:
		c.attemptUnanswered(n, now, outcome, elapsed)
	}
	if n.inFlight == 0 {
		n.waitingSince, n.overdue = 0, false
	}
}

func (c *Instance) attemptAnswered(n *node, now Time, outcome Ending, elapsed Time) {
	e := &n.zone.evidence
	if outcome == Answered {
		e.counts.inTime++
		e.inTimeAt = now
		c.latency.add(elapsed)
	} else {
		e.counts.late++
	}
	n.waitingSince, n.overdue, n.answeredAt, e.answeredAt = now, false, now, now
	e.clearRun()
}

func (c *Instance) attemptUnanswered(n *node, now Time, outcome Ending, elapsed Time) {
	e := &n.zone.evidence
	if outcome == Shut {
		e.addUnconnected(n.hash)
	}
	if outcome == Undone && !n.overdue && elapsed < c.overdue() {
		return // cancelled by its client or for want of time, which is no evidence about the node
	}
	e.counts.unanswered++
	if !n.overdue { // else it was counted when it became overdue
		e.addUnanswered(n.hash, now)
	}
}

// overdue is the time after which an attempt counts as unanswered.
func (c *Instance) overdue() Time { return c.latency.overdue(c.settings.Shortest) }

// Reached reports that a new connection to a node was opened: its machine is alive, however long answers take.
func (c *Instance) Reached(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.unconnectedNodes = n.zone.evidence.unconnectedNodes[:0]
	}
}

// Refused reports that a new connection to a node was refused or could not be opened.
func (c *Instance) Refused(index int) {
	if n := c.node(index); n != nil && n.zone != nil {
		n.zone.evidence.addUnconnected(n.hash)
	}
}

// Origin reports a completed fetch from the origin, and whether it was late.
func (c *Instance) Origin(now Time, late bool) {
	c.origin.decay(now)
	if late {
		c.origin.late++
	} else {
		c.origin.inTime++
	}
}

// proxyLoad is the load of this proxy on all caches.
type proxyLoad struct {
	inFlight float64 // attempts
	capacity float64 // attempts in flight that the caches answer in time
}

// Load takes how many attempts this proxy has in flight at all caches, and how many of these they answer in time.
func (c *Instance) Load(inFlight, capacity float64) {
	c.load = proxyLoad{inFlight: inFlight, capacity: capacity}
}

// appendMissing appends an element that the slice does not contain.
func appendMissing[T comparable](all []T, element T) []T {
	if slices.Contains(all, element) {
		return all
	}
	return append(all, element)
}
