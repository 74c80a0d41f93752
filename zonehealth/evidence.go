package zonehealth

import "math"

const (
	minConnectFailedNodes = 2              // nodes that must refuse connections for a standalone evacuation (all if fewer)
	evidenceWindow        = 3 * Second / 2 // maximum age of a response or an unanswered attempt that counts as recent
	attemptCountHalfLife  = 2 * Second
)

// attemptCounts are decaying numbers of attempts by outcome, with the half-life attemptCountHalfLife.
type attemptCounts struct {
	inTime, late, unanswered float64
	at                       Time // time of the latest decay
}

func (a *attemptCounts) decay(now Time) {
	factor := math.Exp2(-float64(now-a.at) / float64(attemptCountHalfLife))
	a.inTime, a.late, a.unanswered, a.at = a.inTime*factor, a.late*factor, a.unanswered*factor, now
}

// localEvidence is the evidence about a zone from the attempts of this proxy.
type localEvidence struct {
	lastResponseAt   Time     // time of the latest response
	lastInTimeAt     Time     // time of the latest response in time
	lastUnansweredAt Time     // time of the latest unanswered attempt
	runStartedAt     Time     // time of the first unanswered attempt since the latest response
	unansweredRun    int      // unanswered attempts since the latest response
	unhealthyNodes   []uint32 // name hashes of the nodes with these unanswered attempts
	// connectFailedNodes holds the name hashes of nodes that refused a connection since the latest response from the zone
	// or the latest connection opened in it.
	connectFailedNodes []uint32
	counts             attemptCounts
}

func newLocalEvidence(now Time) localEvidence {
	never := now - distantPast
	return localEvidence{lastResponseAt: never, lastInTimeAt: never, lastUnansweredAt: never}
}

// clearRun clears the unanswered attempts and the failed connections, as after a response.
func (e *localEvidence) clearRun() {
	e.unansweredRun, e.unhealthyNodes, e.connectFailedNodes = 0, e.unhealthyNodes[:0], e.connectFailedNodes[:0]
}

// restart clears all counts, so that only attempts under a new verdict are counted.
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

// addConnectFailure records that a node refused a connection.
func (e *localEvidence) addConnectFailure(node uint32) {
	if len(e.connectFailedNodes) < minConnectFailedNodes {
		e.connectFailedNodes = appendMissing(e.connectFailedNodes, node)
	}
}
