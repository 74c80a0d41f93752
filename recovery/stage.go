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
	// StageFull is normal service.
	StageFull
)

// stageNames are part of the answers to GET /control/recovery and GET /control/ready.
var stageNames = [...]string{
	StageStandalone: "alone",
	StageCatchingUp: "catching up",
	StageWarmingUp:  "warming",
	StageFull:       "full",
}

// String returns the name that operators see. Values that are no stage wrap around.
func (s Stage) String() string { return stageNames[int(s)%len(stageNames)] }

// transition is a rule by which a stage ends.
type transition struct {
	from   Stage
	when   func(*Tracker) bool
	to     Stage
	reason string // part of the answers to GET /control/recovery and GET /control/ready
}

// transitions are tried in this order; the first one whose predicate holds is taken. Each stage but the last has one
// that depends on time alone.
var transitions = []transition{
	{StageStandalone, (*Tracker).hasListAndState, StageWarmingUp, "the list is told"},
	{StageStandalone, (*Tracker).hasContact, StageCatchingUp, "others are heard"},
	{StageStandalone, (*Tracker).standaloneLimitReachedBeforeSync, StageCatchingUp, "nobody is heard yet"},
	{StageStandalone, (*Tracker).standaloneLimitReached, StageWarmingUp, "nobody is heard; it goes on with what it has"},
	{StageCatchingUp, (*Tracker).synchronized, StageWarmingUp, "caught up"},
	{StageCatchingUp, (*Tracker).catchUpLimitReached, StageWarmingUp, "as far as it goes in its time"},
	{StageWarmingUp, (*Tracker).answersInTime, StageFull, "answers come in time"},
	{StageWarmingUp, (*Tracker).warmUpLimitReached, StageFull, "its time is over"},
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

func (t *Tracker) answersInTime() bool {
	return t.answers.total >= t.settings.MinAnswers && t.answers.mostlyInTime()
}

func (t *Tracker) warmUpLimitReached() bool { return t.timeInStage() >= t.settings.WarmUpLimit }

func (t *Tracker) timeInStage() Duration { return t.now.Sub(t.stageStart) }
