package recovery

// Settings are the settings of a tracker. They do not change after [New].
type Settings struct {
	// HasPeers is true if there are peers to synchronize with.
	HasPeers bool
	// StandaloneLimit, CatchUpLimit and WarmUpLimit are the time limits of the stages standalone, catching up and warming
	// up, each measured from the start of the stage.
	StandaloneLimit Duration
	CatchUpLimit    Duration
	WarmUpLimit     Duration
	// MinRequests is the number of requests that must finish before warming up can end earlier than WarmUpLimit.
	MinRequests int
	// PauseThreshold is the interval between two calls of Tick above which the process is considered to have been paused.
	PauseThreshold Duration
}

// DefaultSettings returns the default settings. CatchUpLimit is 5 s, the time after which replication itself gives up
// catching up, so that the stage does not outlast it.
func DefaultSettings(hasPeers bool) Settings {
	return Settings{
		HasPeers:        hasPeers,
		StandaloneLimit: 2 * Second,
		CatchUpLimit:    5 * Second,
		WarmUpLimit:     10 * Second,
		MinRequests:     20,
		PauseThreshold:  2 * Second,
	}
}
