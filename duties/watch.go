package duties

import "github.com/cespare/xxhash/v2"

// discoverySubject is the subject that orders the proxies for the discovery watch.
var discoverySubject = xxhash.Sum64String("discovery")

const (
	// longAgo is longer than every interval. An action whose last time is initialized to longAgo before the start is due
	// at once.
	longAgo = 1000 * Second

	// maxDoublings is the maximum number of doublings of the proxies that may take over, large enough for any fleet.
	maxDoublings = 20
)

// watchDuty decides whether this proxy watches discovery. Watchers hold leases that they renew with heartbeats.
type watchDuty struct {
	view      *fleetView
	decisions *decisionList

	leases          map[string]Time // expiry times of the leases of other watchers, by name
	leaseCount      int             // number of valid leases of other proxies, as of the current tick
	precedingLeases int             // number of valid leases of proxies that precede this one in the order
	shortageSince   Time            // start of the current shortage of preceding watchers, 0 if there is none
	assigned        bool            // whether this proxy is assigned to watch, by the last SetWatch decision or initially
	live            bool            // whether this proxy's own watch works
	surplus         bool            // whether this proxy's rank is beyond the configured number of watchers
	heartbeatAt     Time            // time of the last heartbeat
	watchers        int             // number of proxies with a valid lease, including this one, as of the last tick
}

func newWatchDuty(view *fleetView, decisions *decisionList) watchDuty {
	return watchDuty{
		view: view, decisions: decisions, leases: map[string]Time{},
		assigned: true, shortageSince: view.now, heartbeatAt: view.now - longAgo,
	}
}

// renewLease handles another proxy's heartbeat. The validity that the sender states is limited to between one and one
// and a half times the lease duration in this proxy's settings, since a proxy that claims an unlimited validity would
// hold its lease without watching.
func (w *watchDuty) renewLease(proxy string, sentAt, validFor Time) {
	minLease := w.view.settings.LeaseDuration
	if expires := sentAt + min(max(validFor, minLease), surplusLease(minLease)); expires > w.view.now {
		w.leases[proxy] = expires
	}
}

// surplusLease returns the validity of a surplus watcher's heartbeat.
func surplusLease(lease Time) Time { return lease * 3 / 2 }

// expireLeases removes expired leases and counts the valid ones.
func (w *watchDuty) expireLeases() {
	w.leaseCount, w.precedingLeases = 0, 0
	for proxy, expires := range w.leases {
		if w.view.now >= expires {
			delete(w.leases, proxy)
			continue
		}
		w.leaseCount++
		if precedes(discoverySubject, proxy, w.view.settings.Self) {
			w.precedingLeases++
		}
	}
}

// countWatchers returns the number of proxies with a valid lease. It includes this proxy if it is assigned to watch and
// its watch works.
func (w *watchDuty) countWatchers() int {
	if w.live && w.assigned {
		return w.leaseCount + 1
	}
	return w.leaseCount
}

// updateSurplus updates surplus after a change of the fleet.
func (w *watchDuty) updateSurplus() {
	w.surplus = w.view.selfRank(discoverySubject) >= w.view.settings.Watchers
}

// heartbeatDue reports whether this proxy watches discovery and a heartbeat interval has passed since its last
// heartbeat. The interval of a surplus watcher is twice as long.
func (w *watchDuty) heartbeatDue() bool {
	interval := w.view.settings.HeartbeatInterval
	if w.surplus {
		interval *= 2
	}
	return w.view.settings.Watchers > 0 && w.live && w.assigned && w.view.now-w.heartbeatAt >= interval
}

// sendHeartbeat renews this proxy's lease. A surplus watcher sends fewer heartbeats, which are valid for longer:
// otherwise, when a whole fleet watches, the heartbeats themselves would be delayed.
func (w *watchDuty) sendHeartbeat() {
	w.heartbeatAt = w.view.now
	validFor := w.view.settings.LeaseDuration
	if w.surplus {
		validFor = surplusLease(validFor)
	}
	w.decisions.add(Decision{
		Action: Broadcast, Kind: WatchHeartbeat, Key: w.view.settings.Self, Report: Report{ValidFor: validFor}, TTL: validFor,
	})
}

// inShortage reports whether fewer proxies than the configured number of watchers precede this one in the order and hold a
// valid lease. Since at least two watchers are required, a single proxy that holds a lease although its watch hangs, or
// that sends false heartbeats, does not leave the fleet without a watch.
func (w *watchDuty) inShortage() bool { return w.precedingLeases < w.view.settings.Watchers }

// shortageChanged reports whether a shortage of watchers has started or ended.
func (w *watchDuty) shortageChanged() bool { return (w.shortageSince > 0) != w.inShortage() }

// toggleShortage records the start or the end of a shortage of watchers.
func (w *watchDuty) toggleShortage() {
	if w.shortageSince == 0 {
		w.shortageSince = max(w.view.now, 1) // 0 means that there is no shortage
	} else {
		w.shortageSince = 0
	}
}

// shouldWatch reports whether this proxy should watch discovery. It should if it is among the first proxies in the order, up
// to the configured number of watchers. During a shortage that number doubles with each takeover delay, and a proxy
// that has taken over watches until the shortage ends. A proxy that catches up, or whose fleet has no more proxies than
// configured watchers, always watches.
func (w *watchDuty) shouldWatch() bool {
	settings := &w.view.settings
	if settings.Watchers == 0 || w.view.catchingUp || w.view.members.size() <= settings.Watchers {
		return true
	}
	if w.shortageSince == 0 {
		return false
	}
	doublings := min((w.view.now-w.shortageSince)/settings.TakeoverDelay, maxDoublings)
	return w.assigned || w.view.selfRank(discoverySubject) < settings.Watchers<<doublings
}

// assignmentChanged reports whether this proxy has to start or stop its watch.
func (w *watchDuty) assignmentChanged() bool { return w.assigned != w.shouldWatch() }

// toggleAssignment starts or stops this proxy's watch.
func (w *watchDuty) toggleAssignment() {
	watchers := w.countWatchers()
	w.assigned = !w.assigned
	w.decisions.logf("discovery watch %v: %d proxies alive, %d watching", w.assigned, w.view.members.size(), watchers)
	w.decisions.add(Decision{Action: SetWatch, Enabled: w.assigned})
}
