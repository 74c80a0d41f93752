package recovery

import "fmt"

// StageChange is a change of the stage, for the caller to log.
type StageChange struct {
	// Text contains the new stage, the seconds spent in the previous stage, the previous stage and the reason.
	Text string
}

// Tracker tracks the stage of recovery of one proxy. It is not safe for concurrent use; see the package comment.
type Tracker struct {
	settings   Settings
	now        Time // latest time passed to a method
	start      Time
	lastTick   Time
	stage      Stage
	stageStart Time

	listReceived bool // discovery or a peer has sent an endpoint list since the start or the last pause
	catchingUp   bool // replication has not yet received all state of the peers
	peerSeen     bool // a peer has been alive since the start of the process
	outcomes     outcomeCounts

	status  Status
	changes []StageChange // made by the current call
}

// New returns a tracker in the first stage, StageStandalone. The parameters stored and draining are reported by
// [Tracker.Status] as StoredList and DrainingEndpoints.
func New(now Time, settings Settings, stored string, draining int) *Tracker {
	return &Tracker{
		settings:   settings,
		now:        now,
		start:      now,
		lastTick:   now,
		stageStart: now,
		catchingUp: settings.HasPeers,
		status:     Status{Reason: "started", StoredList: stored, DrainingEndpoints: draining},
	}
}

// EndpointListReceived records that discovery or a peer has sent an endpoint list or a change of one.
func (t *Tracker) EndpointListReceived(now Time) []StageChange {
	t.begin(now)
	t.listReceived = true
	return t.advance()
}

// UpdatePeers records the number of peers that are alive, and whether replication is still catching up with them.
func (t *Tracker) UpdatePeers(now Time, alive int, catchingUp bool) []StageChange {
	t.begin(now)
	t.peerSeen = t.peerSeen || alive > 0
	t.catchingUp = catchingUp
	return t.advance()
}

// RequestFinished records that a request has finished, and whether it was answered in time. A resulting stage change is
// made by the next call of another method that takes an event.
func (t *Tracker) RequestFinished(inTime bool) {
	if t.stage != StageFull {
		t.outcomes.add(inTime)
	}
}

// Tick advances the time. The caller calls it about ten times a second. An interval between two calls longer than
// Settings.PauseThreshold means that the process was paused: recovery starts again.
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

// Status returns the status at the given time, for operators.
func (t *Tracker) Status(now Time) Status {
	status := t.status
	status.Stage = t.stage.String()
	status.InStageMS = now.Sub(t.stageStart).Milliseconds()
	return status
}

// begin starts a call. It advances the time, which never goes backward, and drops the changes of the previous call.
func (t *Tracker) begin(now Time) {
	t.now = max(now, t.now)
	t.changes = nil // not truncated: the returned slice belongs to the caller
}

// advance takes transitions until none applies, and returns all changes of the current call. It terminates because no
// transition leads to an earlier stage.
func (t *Tracker) advance() []StageChange {
	for {
		next := t.nextTransition()
		if next == nil {
			return t.changes
		}
		t.enter(next.to, next.reason)
	}
}

// nextTransition returns the first transition that applies, or nil if there is none.
func (t *Tracker) nextTransition() *transition {
	for n := range transitions {
		if rule := &transitions[n]; rule.from == t.stage && rule.when(t) {
			return rule
		}
	}
	return nil
}

// enter changes the stage and records the change.
func (t *Tracker) enter(stage Stage, reason string) {
	text := fmt.Sprintf("%v after %.1f s %v: %s", stage, t.timeInStage().Seconds(), t.stage, reason)
	t.changes = append(t.changes, StageChange{Text: text})
	t.stage, t.stageStart = stage, t.now
	t.status.Reason = reason
	switch stage {
	case StageWarmingUp:
		t.outcomes = outcomeCounts{}
	case StageFull:
		t.recordFullService()
	}
}

// recordFullService records the time after which full service is reached for the first time. The minimum is 1 ms, since
// 0 means that full service has not been reached yet.
func (t *Tracker) recordFullService() {
	if t.status.FullServiceAfterMS == 0 {
		t.status.FullServiceAfterMS = max(t.now.Sub(t.start).Milliseconds(), 1)
	}
}

// restart returns to the first stage after a pause, because the state received from discovery and peers is out of date.
func (t *Tracker) restart(pause Duration) {
	t.status.Pauses++
	t.listReceived = false
	t.catchingUp = t.settings.HasPeers
	t.enter(StageStandalone, fmt.Sprintf("process was paused for %.1f s", pause.Seconds()))
}
