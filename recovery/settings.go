package recovery

// Settings are fixed for the life of a tracker.
type Settings struct {
	// HasPeers is true if there are peers to synchronize with.
	HasPeers bool
	// StandaloneLimit, CatchUpLimit and WarmUpLimit are the time limits of the stages of these names, each from the
	// start of the stage.
	StandaloneLimit Duration
	CatchUpLimit    Duration
	WarmUpLimit     Duration
	// MinAnswers is how many requests must have finished before warming up can end ahead of its limit.
	MinAnswers int
	// PauseThreshold is the time between two calls of Tick above which the process counts as paused.
	PauseThreshold Duration
}

// DefaultSettings returns the settings in use. The limit of catching up is the 5 s after which replication itself gives up, so that
// the stage does not outlast it.
func DefaultSettings(hasPeers bool) Settings {
	return Settings{
		HasPeers:        hasPeers,
		StandaloneLimit: 2 * Second,
		CatchUpLimit:    5 * Second,
		WarmUpLimit:     10 * Second,
		MinAnswers:      20,
		PauseThreshold:  2 * Second,
	}
}
