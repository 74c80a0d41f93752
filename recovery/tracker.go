package recovery

import "fmt"

// StageChange is a change of stage, for the caller to log.
type StageChange struct {
	// Text names both stages, the time spent in the earlier one in seconds, and the reason.
	Text string
}

// Instance decides in which stage of recovery one proxy is. The package comment says how it may be called.
type Instance struct {
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

	figures Figures
	changes []StageChange // of the call in progress; its memory is used again by the next call
}

// New returns a tracker in its first stage, StageStandalone. For operators it also takes what became of the stored
// endpoint list, and the number of endpoints that are drained because of it.
func New(now Time, settings Settings, stored string, drained int) *Instance {
	return &Instance{
		settings:   settings,
		now:        now,
		start:      now,
		lastTick:   now,
		stageStart: now,
		catchingUp: settings.HasPeers,
		figures:    Figures{Why: "started", StoredList: stored, Drained: drained},
	}
}

// Listed reports that discovery or a peer has sent an endpoint list or a change of one. The result is valid until the
// next call.
func (t *Instance) Listed(now Time) []StageChange {
	t.begin(now)
	t.listReceived = true
	return t.advance()
}

// Peers reports how many peers are alive, and whether replication is still catching up with them. The result is valid
// until the next call.
func (t *Instance) Peers(now Time, alive int, catchingUp bool) []StageChange {
	t.begin(now)
	t.peerSeen = t.peerSeen || alive > 0
	t.catchingUp = catchingUp
	return t.advance()
}

// Answered reports that a request has finished, and whether it was answered in time. The next call of another method
// takes it into account.
func (t *Instance) Answered(inTime bool) {
	if t.stage != Full {
		t.answers.add(inTime)
	}
}

// Tick reports the time, about ten times a second. A longer gap than Settings.PauseThreshold means that the process was
// paused: recovery starts again. The result is valid until the next call.
func (t *Instance) Tick(now Time) []StageChange {
	t.begin(now)
	if gap := t.now.Sub(t.lastTick); gap > t.settings.PauseThreshold {
		t.restart(gap)
	}
	t.lastTick = t.now
	return t.advance()
}

// Stage returns the current stage.
func (t *Instance) Stage() Stage { return t.stage }

// Shown returns the figures for operators.
func (t *Instance) Shown(now Time) Figures {
	figures := t.figures
	figures.Stage = t.stage.String()
	figures.InStageMS = now.Sub(t.stageStart).Milliseconds()
	return figures
}

// begin starts a call: time never runs backwards, and the changes of the previous call are dropped.
func (t *Instance) begin(now Time) {
	t.now = max(now, t.now)
	t.changes = t.changes[:0]
}

// advance takes transitions until none applies, and returns all changes of this call. It ends since no transition leads
// to an earlier stage.
func (t *Instance) advance() []StageChange {
	for {
		next := t.nextTransition()
		if next == nil {
			return t.changes
		}
		t.enter(next.to, next.reason)
	}
}

// nextTransition returns the first transition that applies, or nil.
func (t *Instance) nextTransition() *transition {
	for n := range transitions {
		if rule := &transitions[n]; rule.from == t.stage && rule.when(t) {
			return rule
		}
	}
	return nil
}

// enter changes the stage.
func (t *Instance) enter(stage Stage, reason string) {
	text := fmt.Sprintf("%v after %.1f s %v: %s", stage, t.timeInStage().Seconds(), t.stage, reason)
	t.changes = append(t.changes, StageChange{Text: text})
	t.stage, t.stageStart = stage, t.now
	t.figures.Why = reason
	switch stage {
	case StageWarmingUp:
		t.answers = answerCounts{}
	case Full:
		t.noteFullService()
	}
}

// noteFullService records when full service is reached for the first time: after 1 ms at least, since 0 means not yet.
func (t *Instance) noteFullService() {
	if t.figures.FullMS == 0 {
		t.figures.FullMS = max(t.now.Sub(t.start).Milliseconds(), 1)
	}
}

// restart goes back to the first stage after a pause: what discovery and peers said before is out of date.
func (t *Instance) restart(pause Duration) {
	t.figures.Pauses++
	t.listReceived = false
	t.catchingUp = t.settings.HasPeers
	t.enter(StageStandalone, fmt.Sprintf("stood still for %.1f s", pause.Seconds()))
}
