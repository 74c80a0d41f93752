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
	// minOldestTimeout is the time within which the proxy is expected to apply a change, after which a response is late.
	minOldestTimeout = 6 * time.Second
	maxOldestTimeout = 24 * time.Second
)

// LateWatches decides which of the watches stay open that discovery has not answered in time. The watches belong to one
// discovery and are ordered by the time at which they were requested.
//
// A slow discovery answers only a request that stays open. A request that was lost, on the other hand, or that was sent
// during an outage, may never be answered. Therefore the oldest watch has a long timeout, which doubles each time it has
// passed, and each other watch stays open until maxLateWatches newer ones are late.
type LateWatches struct {
	oldestTimeout time.Duration // 0: minOldestTimeout
}

// Excess returns the position of the watch that must be closed, or -1 if all may stay open. The oldest watch has the
// position 0 and the given age.
func (l *LateWatches) Excess(count int, oldestAge time.Duration) int {
	if count <= maxLateWatches {
		return -1
	}
	timeout := max(l.oldestTimeout, minOldestTimeout)
	if oldestAge < timeout {
		return 1
	}
	l.oldestTimeout = min(2*timeout, maxOldestTimeout)
	return 0
}

// Reset restores the initial timeout, because discovery has answered or is another one.
func (l *LateWatches) Reset() { l.oldestTimeout = 0 }
