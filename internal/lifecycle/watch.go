package lifecycle

import "time"

// WatchConditions holds the conditions under which a discovery watch may be opened.
type WatchConditions struct {
	Open      bool // a watch is already open
	Delegated bool // other proxies have the duty to watch
}

// MayOpen decides whether a watch may be opened.
func (c *WatchConditions) MayOpen() Refusal {
	switch {
	case c.Open:
		return WatchOpen
	case c.Delegated:
		return WatchDelegated
	}
	return Permitted
}

// Limits of the watches that discovery has not answered in time.
const (
	maxLateWatches = 3
	// minWatchPatience is the time within which the proxy is expected to apply a change, after which a response is late.
	minWatchPatience = 6 * time.Second
	maxWatchPatience = 24 * time.Second
)

// LateWatches decides which of the watches stay open that discovery has not answered in time. The watches belong to one
// discovery and are ordered by the time at which they were requested.
//
// A slow discovery answers only a request that is kept open. A request that was lost, on the other hand, or that was sent
// during an outage, may never be answered. Therefore the oldest watch is kept for the patience, which doubles whenever
// that was not enough, and each other one until maxLateWatches newer ones are open.
type LateWatches struct {
	patience time.Duration // 0: minWatchPatience
}

// Excess returns the position of the watch that must be given up, or -1 if all may stay open. The oldest watch has the
// position 0 and the given age.
func (l *LateWatches) Excess(count int, oldestAge time.Duration) int {
	if count <= maxLateWatches {
		return -1
	}
	patience := max(l.patience, minWatchPatience)
	if oldestAge < patience {
		return 1
	}
	l.patience = min(2*patience, maxWatchPatience)
	return 0
}

// Reset restores the initial patience, because discovery has answered or is another one.
func (l *LateWatches) Reset() { l.patience = 0 }
