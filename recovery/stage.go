package recovery

// Stage is a stage of recovery.
type Stage uint8

const (
	// StageStandalone lasts until discovery or a peer is heard: the proxy has its configuration and its state file.
	StageStandalone Stage = iota
	// StageCatchingUp lasts until the replicated state is synchronized with a peer.
	StageCatchingUp
	// StageWarmingUp lasts until enough recent requests were answered in time: the proxy has the state, but few
	// measurements of its endpoints.
	StageWarmingUp
	// Full is normal service.
	Full
)

// stageNames are part of the answers to GET /control/recovery and GET /control/ready.
var stageNames = [...]string{
	StageStandalone: "alone",
	StageCatchingUp: "catching up",
	StageWarmingUp:  "warming",
	Full:            "full",
}

// String returns the name that operators see. Values that are no stage wrap around.
func (s Stage) String() string { return stageNames[int(s)%len(stageNames)] }

// transition is a rule by which a stage ends.
type transition struct {
	from   Stage
	when   func(*Instance) bool
	to     Stage
	reason string // part of the answers to GET /control/recovery and GET /control/ready
}

// transitions are tried in this order; the first one whose predicate holds is taken. Each stage but the last has one
// that depends on time alone.
var transitions = []transition{
	{StageStandalone, (*Instance).hasListAndState, StageWarmingUp, "the list is told"},
	{StageStandalone, (*Instance).hasContact, StageCatchingUp, "others are heard"},
	{StageStandalone, (*Instance).standaloneLimitReachedBeforeSync, StageCatchingUp, "nobody is heard yet"},
	{StageStandalone, (*Instance).standaloneLimitReached, StageWarmingUp, "nobody is heard; it goes on with what it has"},
	{StageCatchingUp, (*Instance).synchronized, StageWarmingUp, "caught up"},
	{StageCatchingUp, (*Instance).catchUpLimitReached, StageWarmingUp, "as far as it goes in its time"},
	{StageWarmingUp, (*Instance).answersInTime, Full, "answers come in time"},
	{StageWarmingUp, (*Instance).warmUpLimitReached, Full, "its time is over"},
}

func (t *Instance) hasListAndState() bool {
	return t.listReceived && (!t.settings.HasPeers || t.synchronized())
}

func (t *Instance) hasContact() bool {
	return t.settings.HasPeers && (t.listReceived || t.peerSeen)
}

func (t *Instance) standaloneLimitReachedBeforeSync() bool {
	return t.standaloneLimitReached() && t.settings.HasPeers && !t.synchronized()
}

func (t *Instance) standaloneLimitReached() bool {
	return t.timeInStage() >= t.settings.StandaloneLimit
}

func (t *Instance) synchronized() bool { return !t.catchingUp }

func (t *Instance) catchUpLimitReached() bool { return t.timeInStage() >= t.settings.CatchUpLimit }

func (t *Instance) answersInTime() bool {
	return t.answers.total >= t.settings.MinAnswers && t.answers.mostlyInTime()
}

func (t *Instance) warmUpLimitReached() bool { return t.timeInStage() >= t.settings.WarmUpLimit }

func (t *Instance) timeInStage() Duration { return t.now.Sub(t.stageStart) }
