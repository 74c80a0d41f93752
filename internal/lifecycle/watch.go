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
	// rejectedWatchAge is the age from which a late watch is closed if discovery rejects a newer one, since discovery may
	// limit the number of watches.
	rejectedWatchAge = 2800 * time.Millisecond
)

// LateWatchConditions holds the conditions under which a watch may stay open that discovery has not answered in time. A
// slow discovery answers only a request that stays open. A request that was lost, on the other hand, or that was sent
// during an outage, may never be answered, and may take the place of another one.
type LateWatchConditions struct {
	Position      int           // among the late watches, by the times of their requests; 0: the oldest
	Count         int           // number of late watches
	Age           time.Duration // time since its request
	Overdue       bool          // the deadline of the oldest late watch has passed
	NewerRejected bool          // discovery has rejected a newer watch
}

// MayStayOpen decides whether the watch may stay open. The oldest one stays until its deadline. While more than
// maxLateWatches are late, the second oldest one is closed.
func (c *LateWatchConditions) MayStayOpen() bool {
	switch {
	case c.NewerRejected && c.Age >= rejectedWatchAge:
		return false
	case c.Position == 0:
		return !c.Overdue
	}
	return c.Position > 1 || c.Count <= maxLateWatches
}
