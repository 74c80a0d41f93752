package zonehealth

import "math"

const (
	minConnectFailedNodes = 2              // that refuse connections, for a standalone evacuation of a zone of so many
	evidenceWindow        = 3 * Second / 2 // the time that votes and decisions are about
	attemptCountHalfLife  = 2 * Second
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

// localEvidence is what this proxy's own attempts tell about a zone.
type localEvidence struct {
	lastResponseAt     Time     // the latest answer
	lastInTimeAt       Time     // the latest answer in time
	lastUnansweredAt   Time     // the latest unanswered attempt
	runStartedAt       Time     // the first unanswered attempt since the latest answer
	unansweredRun      int      // unanswered attempts since the latest answer
	unhealthyNodes     []uint32 // hashes of names of the nodes that did not answer these
	connectFailedNodes []uint32 // likewise of nodes that refused a connection since one was opened or an answer arrived
	counts             attemptCounts
}

func newLocalEvidence(now Time) localEvidence {
	never := now - distantPast
	return localEvidence{lastResponseAt: never, lastInTimeAt: never, lastUnansweredAt: never}
}

// clearRun forgets the unanswered attempts, as after an answer.
func (e *localEvidence) clearRun() {
	e.unansweredRun, e.unhealthyNodes, e.connectFailedNodes = 0, e.unhealthyNodes[:0], e.connectFailedNodes[:0]
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
	e.lastUnansweredAt = now
	if len(e.unhealthyNodes) < maxCoveredNodes {
		e.unhealthyNodes = appendMissing(e.unhealthyNodes, node)
	}
}

// addConnectFailure notes that a node refused a connection.
func (e *localEvidence) addConnectFailure(node uint32) {
	if len(e.connectFailedNodes) < minConnectFailedNodes {
		e.connectFailedNodes = appendMissing(e.connectFailedNodes, node)
	}
}
