package recovery

// Stage is a stage of recovery. The constants are in the order in which the stages follow one another.
type Stage uint8

const (
	// StageStandalone is the stage until contact with discovery or a peer. The proxy has only its configuration and its
	// state file.
	StageStandalone Stage = iota
	// StageCatchingUp is the stage until the replicated state is synchronized with a peer.
	StageCatchingUp
	// StageWarmingUp is the stage until enough recent requests were answered in time. The proxy has the replicated state,
	// but few measurements of its endpoints.
	StageWarmingUp
	// StageFull is normal service, the last stage.
	StageFull
)

// stageNames are the names of the stages in the responses to GET /control/recovery and GET /control/ready.
var stageNames = [...]string{
	StageStandalone: "alone",
	StageCatchingUp: "catching up",
	StageWarmingUp:  "warming",
	StageFull:       "full",
}

// String returns the name of the stage for operators. For a value that is not a stage it returns the name of the stage
// that equals the value modulo the number of stages.
func (s Stage) String() string { return stageNames[int(s)%len(stageNames)] }

// transition is a transition from one stage to the next, taken when its condition is true.
type transition struct {
	from   Stage
	when   func(*Tracker) bool
	to     Stage
	reason string // for the responses to GET /control/recovery and GET /control/ready
}

// transitions are checked in this order, and the first one whose condition is true is taken. Every stage except the
// last has a transition that depends on time alone, so that it ends in any case.
var transitions = []transition{
	{StageStandalone, (*Tracker).hasListAndState, StageWarmingUp, "endpoint list received"},
	{StageStandalone, (*Tracker).hasContact, StageCatchingUp, "contact with discovery or a peer"},
	{StageStandalone, (*Tracker).standaloneLimitReachedBeforeSync, StageCatchingUp, "no contact with discovery or peers yet"},
	{StageStandalone, (*Tracker).standaloneLimitReached, StageWarmingUp, "no contact: continuing with the available state"},
	{StageCatchingUp, (*Tracker).synchronized, StageWarmingUp, "caught up"},
	{StageCatchingUp, (*Tracker).catchUpLimitReached, StageWarmingUp, "time limit reached before all state was received"},
	{StageWarmingUp, (*Tracker).requestsInTime, StageFull, "answers come in time"},
	{StageWarmingUp, (*Tracker).warmUpLimitReached, StageFull, "time limit reached"},
}

func (t *Tracker) hasListAndState() bool {
	return t.listReceived && (!t.settings.HasPeers || t.synchronized())
}

func (t *Tracker) hasContact() bool {
	return t.settings.HasPeers && (t.listReceived || t.peerSeen)
}

func (t *Tracker) standaloneLimitReachedBeforeSync() bool {
	return t.standaloneLimitReached() && t.settings.HasPeers && !t.synchronized()
}

func (t *Tracker) standaloneLimitReached() bool {
	return t.timeInStage() >= t.settings.StandaloneLimit
}

func (t *Tracker) synchronized() bool { return !t.catchingUp }

func (t *Tracker) catchUpLimitReached() bool { return t.timeInStage() >= t.settings.CatchUpLimit }

func (t *Tracker) requestsInTime() bool {
	return t.outcomes.total >= t.settings.MinRequests && t.outcomes.mostlyInTime()
}

func (t *Tracker) warmUpLimitReached() bool { return t.timeInStage() >= t.settings.WarmUpLimit }

func (t *Tracker) timeInStage() Duration { return t.now.Sub(t.stageStart) }
