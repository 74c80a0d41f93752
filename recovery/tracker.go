package recovery

import "fmt"

// StageChange is a change of stage, for the caller to log.
type StageChange struct {
	// Text names both stages, the time spent in the earlier one in seconds, and the reason.
	Text string
}

// Tracker decides in which stage of recovery one proxy is. The package comment says how it may be called.
type Tracker struct {
	settings   Settings
	now        Time // the latest time that a caller reported
	start      Time
	lastTick   Time
	stage      Stage
	stageStart Time

	listReceived bool // discovery or a peer has sent an endpoint list since the start or the last pause
	catchingUp   bool // replication is behind the peers
	peerSeen     bool // a peer was alive at some time
	answers      answerCounts

	figures Status
	changes []StageChange // of the call in progress
}

// New returns a tracker in its first stage, StageStandalone. For operators it also takes what became of the stored
// endpoint list, and the number of endpoints that are drained because of it.
func New(now Time, settings Settings, stored string, drained int) *Tracker {
	return &Tracker{
		settings:   settings,
		now:        now,
		start:      now,
		lastTick:   now,
		stageStart: now,
		catchingUp: settings.HasPeers,
		figures:    Status{Reason: "started", StoredList: stored, DrainingEndpoints: drained},
	}
}

// EndpointListReceived reports that discovery or a peer has sent an endpoint list or a change of one.
func (t *Tracker) EndpointListReceived(now Time) []StageChange {
	t.begin(now)
	t.listReceived = true
	return t.advance()
}

// UpdatePeers reports how many peers are alive, and whether replication is still catching up with them.
func (t *Tracker) UpdatePeers(now Time, alive int, catchingUp bool) []StageChange {
	t.begin(now)
	t.peerSeen = t.peerSeen || alive > 0
	t.catchingUp = catchingUp
	return t.advance()
}

// RequestFinished reports that a request has finished, and whether it was answered in time. The next call of another method
// takes it into account.
func (t *Tracker) RequestFinished(inTime bool) {
	if t.stage != StageFull {
		t.answers.add(inTime)
	}
}

// Tick reports the time, about ten times a second. A longer gap than Settings.PauseThreshold means that the process was
// paused: recovery starts again.
func (t *Tracker) Tick(now Time) []StageChange {
	t.begin(now)
	if gap := t.now.Sub(t.lastTick); gap > t.settings.PauseThreshold {
		t.restart(gap)
	}
	t.lastTick = t.now
	return t.advance()
}

// Stage returns the current stage.
func (t *Tracker) Stage() Stage { return t.stage }

// Status returns the figures for operators.
func (t *Tracker) Status(now Time) Status {
	figures := t.figures
	figures.Stage = t.stage.String()
	figures.InStageMS = now.Sub(t.stageStart).Milliseconds()
	return figures
}

// begin starts a call: time never runs backwards, and the changes of the previous call are dropped.
func (t *Tracker) begin(now Time) {
	t.now = max(now, t.now)
	t.changes = nil // what was returned is the caller's
}

// advance takes transitions until none applies, and returns all changes of this call. It ends since no transition leads
// to an earlier stage.
func (t *Tracker) advance() []StageChange {
	for {
		next := t.nextTransition()
		if next == nil {
			return t.changes
		}
		t.enter(next.to, next.reason)
	}
}

// nextTransition returns the first transition that applies, or nil.
func (t *Tracker) nextTransition() *transition {
	for n := range transitions {
		if rule := &transitions[n]; rule.from == t.stage && rule.when(t) {
			return rule
		}
	}
	return nil
}

// enter changes the stage.
func (t *Tracker) enter(stage Stage, reason string) {
	text := fmt.Sprintf("%v after %.1f s %v: %s", stage, t.timeInStage().Seconds(), t.stage, reason)
	t.changes = append(t.changes, StageChange{Text: text})
	t.stage, t.stageStart = stage, t.now
	t.figures.Reason = reason
	switch stage {
	case StageWarmingUp:
		t.answers = answerCounts{}
	case StageFull:
		t.noteFullService()
	}
}

// noteFullService records when full service is reached for the first time: after 1 ms at least, since 0 means not yet.
func (t *Tracker) noteFullService() {
	if t.figures.FullServiceAfterMS == 0 {
		t.figures.FullServiceAfterMS = max(t.now.Sub(t.start).Milliseconds(), 1)
	}
}

// restart goes back to the first stage after a pause: what discovery and peers said before is out of date.
func (t *Tracker) restart(pause Duration) {
	t.figures.Pauses++
	t.listReceived = false
	t.catchingUp = t.settings.HasPeers
	t.enter(StageStandalone, fmt.Sprintf("stood still for %.1f s", pause.Seconds()))
}
