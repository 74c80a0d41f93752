package duties

import "github.com/cespare/xxhash/v2"

// discoverySubject orders the proxies for the watch of discovery.
var discoverySubject = xxhash.Sum64String("discovery")

const (
	// longAgo lies before the start by more than any interval, so that what is due by interval is due at once.
	longAgo = 1000 * Second

	// maxDoublings bounds how often the number of proxies that take over is doubled; it is enough for any fleet.
	maxDoublings = 20
)

// watchDuty decides whether this proxy watches discovery. Watchers hold leases that they renew by heartbeats.
type watchDuty struct {
	view      *fleetView
	decisions *decisionList

	leases      map[string]Time // by other watcher: when its lease expires
	leaseCount  int             // valid leases of other proxies, at the present tick
	precedence  int             // of these, of proxies that come before this one in the order
	shortSince  Time            // since when too few proxies before this one hold leases, 0: enough do
	assigned    bool            // this proxy is to watch, as the caller was told
	live        bool            // this proxy's own watch works
	surplus     bool            // this proxy is not among the first that are to watch
	heartbeatAt Time            // when the last heartbeat was sent
	watchers    int             // proxies with a valid lease, this one included, at the last tick
}

func newWatchDuty(view *fleetView, decisions *decisionList) watchDuty {
	return watchDuty{
		view: view, decisions: decisions, leases: map[string]Time{},
		assigned: true, shortSince: view.now, heartbeatAt: view.now - longAgo,
	}
}

// renewLease handles another proxy's heartbeat. The sender states how long it is valid, within what this proxy's
// settings allow, since a proxy that claims to watch forever would hold its lease without watching.
func (w *watchDuty) renewLease(proxy string, sentAt, validFor Time) {
	shortest := w.view.settings.LeaseDuration
	if expires := sentAt + min(max(validFor, shortest), extended(shortest)); expires > w.view.now {
		w.leases[proxy] = expires
	}
}

// extended is how long a surplus watcher's heartbeat is valid.
func extended(lease Time) Time { return lease * 3 / 2 }

// expireLeases drops the leases that are over, and counts the others.
func (w *watchDuty) expireLeases() {
	w.leaseCount, w.precedence = 0, 0
	for proxy, expires := range w.leases {
		if w.view.now >= expires {
			delete(w.leases, proxy)
			continue
		}
		w.leaseCount++
		if precedes(discoverySubject, proxy, w.view.settings.Self) {
			w.precedence++
		}
	}
}

// countWatchers returns how many proxies have a valid lease, this one included if it is to watch and its watch works.
func (w *watchDuty) countWatchers() int {
	if w.live && w.assigned {
		return w.leaseCount + 1
	}
	return w.leaseCount
}

// updateSurplus determines anew, after the fleet has changed, whether this proxy is among the first that are to
// watch.
func (w *watchDuty) updateSurplus() {
	w.surplus = w.view.selfRank(discoverySubject) >= w.view.settings.Watchers
}

// heartbeatDue tells whether this proxy watches and its last heartbeat is an interval ago. A surplus watcher sends
// half as many.
func (w *watchDuty) heartbeatDue() bool {
	interval := w.view.settings.HeartbeatInterval
	if w.surplus {
		interval *= 2
	}
	return w.view.settings.Watchers > 0 && w.live && w.assigned && w.view.now-w.heartbeatAt >= interval
}

// sendHeartbeat renews this proxy's lease. A surplus watcher's is valid for longer, as it sends fewer heartbeats:
// where a whole fleet watches, the heartbeats themselves would else be late.
func (w *watchDuty) sendHeartbeat() {
	w.heartbeatAt = w.view.now
	validFor := w.view.settings.LeaseDuration
	if w.surplus {
		validFor = extended(validFor)
	}
	w.decisions.add(Decision{
		Action: Broadcast, Kind: WatchHeartbeat, Key: w.view.settings.Self, Report: Report{ValidFor: validFor}, TTL: validFor,
	})
}

// short tells whether fewer proxies than wanted, of those before this one in the order, hold a valid lease. One
// proxy that lies, or whose watch hangs, takes the watch from nobody, since at least two are wanted.
func (w *watchDuty) short() bool { return w.precedence < w.view.settings.Watchers }

// shortageChanged tells whether a shortage of watchers has begun or ended.
func (w *watchDuty) shortageChanged() bool { return (w.shortSince > 0) != w.short() }

// toggleShortage notes when a shortage of watchers began, or that it has ended.
func (w *watchDuty) toggleShortage() {
	if w.shortSince == 0 {
		w.shortSince = max(w.view.now, 1) // 0 stands for no shortage
	} else {
		w.shortSince = 0
	}
}

// wanted tells whether this proxy is to watch: if it is among the first in the order, as many as configured. During
// a shortage, twice as many are with each takeover delay; of these, those stay that are needed. A proxy that catches
// up, or whose fleet has no more proxies than watchers, always watches.
func (w *watchDuty) wanted() bool {
	settings := &w.view.settings
	if settings.Watchers == 0 || w.view.catchingUp || w.view.members.size() <= settings.Watchers {
		return true
	}
	if w.shortSince == 0 {
		return false
	}
	doublings := min((w.view.now-w.shortSince)/settings.TakeoverDelay, maxDoublings)
	return w.assigned || w.view.selfRank(discoverySubject) < settings.Watchers<<doublings
}

// assignmentChanged tells whether this proxy is to start or to stop its watch.
func (w *watchDuty) assignmentChanged() bool { return w.assigned != w.wanted() }

// toggleAssignment starts or stops this proxy's watch.
func (w *watchDuty) toggleAssignment() {
	watchers := w.countWatchers()
	w.assigned = !w.assigned
	w.decisions.logf("discovery watch %v: %d proxies alive, %d watching", w.assigned, w.view.members.size(), watchers)
	w.decisions.add(Decision{Action: SetWatch, Enabled: w.assigned})
}
