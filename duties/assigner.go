package duties

// assignmentInterval is the least span between two assignments, however often the fleet changes.
const assignmentInterval = Second / 5

// Instance decides for one proxy. It is not safe for concurrent use. The methods that return decisions return a
// slice that the next call reuses; an instant that lies before that of an earlier call counts as the earlier one.
type Instance struct {
	view      fleetView
	decisions decisionList
	nodes     nodeTable
	probes    probeScheduler
	suspicion suspicion
	idle      idleConnections
	watch     watchDuty

	changed    bool // the fleet or the nodes have changed since the last assignment
	assignedAt Time // when the last assignment was made
}

// New returns an assigner without peers and nodes. Until it learns of them, it performs every duty itself. The
// settings have to be valid by their Check.
func New(now Time, settings Terms) *Instance {
	a := &Instance{
		view:       fleetView{settings: settings, now: now, members: newMembership(nil), catchingUp: true},
		nodes:      nodeTable{byName: map[string]*node{}},
		assignedAt: now - longAgo,
	}
	a.probes = probeScheduler{view: &a.view, decisions: &a.decisions}
	a.suspicion = suspicion{view: &a.view, decisions: &a.decisions}
	a.idle = idleConnections{view: &a.view, decisions: &a.decisions}
	a.watch = newWatchDuty(&a.view, &a.decisions)
	return a
}

// begin starts a call at an instant of the caller's clock.
func (a *Instance) begin(now Time) {
	a.view.now = max(now, a.view.now)
	a.decisions.reset()
}

// Fleet sets all proxies, this one included, and whether the replicated state is still incomplete. While it does,
// no duty is left to other proxies.
func (a *Instance) Fleet(now Time, all []Proxy, catchingUp bool) []Decision {
	a.begin(now)
	members := newMembership(all)
	if !members.equal(a.view.members) || catchingUp != a.view.catchingUp {
		a.changed = true
	}
	a.view.members, a.view.catchingUp = members, catchingUp
	return a.decisions.decisions
}

// Nodes sets the names of all caches in the endpoint list.
func (a *Instance) Nodes(now Time, names []string) []Decision {
	a.begin(now)
	changes := a.nodes.update(names)
	for _, n := range changes.added {
		a.idle.nodeAdded(n)
	}
	if changes.any() {
		a.changed = true
	}
	return a.decisions.decisions
}

// probedNode returns the named node, or nil if it is not known or probes are not shared.
func (a *Instance) probedNode(name string) *node {
	if !a.view.settings.Trials {
		return nil
	}
	return a.nodes.byName[name]
}

// Passed records that this proxy has ejected a node, or else that the node answers here.
func (a *Instance) Passed(now Time, name string, ejected bool) []Decision {
	a.begin(now)
	if n := a.probedNode(name); n != nil {
		a.probes.setEjected(n, ejected)
	}
	return a.decisions.decisions
}

// Tried records that this proxy has sent a probe to a node that it has ejected.
func (a *Instance) Tried(now Time, name string) []Decision {
	a.begin(now)
	if n := a.probedNode(name); n != nil {
		a.probes.sent(n)
	}
	return a.decisions.decisions
}

// Failed records that the node did not answer this proxy's probe.
func (a *Instance) Failed(now Time, name string) []Decision {
	a.begin(now)
	if n := a.probedNode(name); n != nil {
		a.probes.failed(n)
	}
	return a.decisions.decisions
}

// Heard handles another proxy's report of the given age. Reports of proxies that are not alive, of this proxy
// itself, and of a negative age are ignored; reports on probes that are out of bounds are counted as rejected.
func (a *Instance) Heard(now Time, from string, kind Kind, key string, report Said, age Time) []Decision {
	a.begin(now)
	if from == a.view.settings.Me || age < 0 || !a.view.members.contains(from) {
		return a.decisions.decisions
	}
	sentAt := a.view.now - age
	switch kind {
	case Trial:
		n := a.nodes.byName[key]
		if a.probes.peerReported(n, from, report, age) {
			a.suspicion.reported(n, from, sentAt, report.How)
		}
	case Beat:
		a.watch.renewLease(from, sentAt, report.For)
	}
	return a.decisions.decisions
}

// Watching records that this proxy's watch of discovery works, or that it has ended or been silent for too long.
func (a *Instance) Watching(now Time, live bool) []Decision {
	a.begin(now)
	a.watch.live = live
	return a.decisions.decisions
}

// rule is one rule of a tick.
type rule struct {
	applies func(a *Instance) bool
	apply   func(a *Instance)
}

// rules are checked in this order, and from the first one again after each that applies.
var rules = []rule{
	{applies: (*Instance).assignmentDue, apply: (*Instance).assign},
	{applies: (*Instance).heartbeatDue, apply: (*Instance).sendHeartbeat},
	{applies: (*Instance).watchShortageChanged, apply: (*Instance).toggleWatchShortage},
	{applies: (*Instance).watchAssignmentChanged, apply: (*Instance).toggleWatchAssignment},
}

func (a *Instance) heartbeatDue() bool           { return a.watch.heartbeatDue() }
func (a *Instance) sendHeartbeat()               { a.watch.sendHeartbeat() }
func (a *Instance) watchShortageChanged() bool   { return a.watch.shortageChanged() }
func (a *Instance) toggleWatchShortage()         { a.watch.toggleShortage() }
func (a *Instance) watchAssignmentChanged() bool { return a.watch.assignmentChanged() }
func (a *Instance) toggleWatchAssignment()       { a.watch.toggleAssignment() }

// Tick makes the decisions that are due by time. The caller calls it about ten times a second.
func (a *Instance) Tick(now Time) []Decision {
	a.begin(now)
	a.watch.expireLeases()
	for a.applyFirstRule() {
	}
	a.watch.watchers = a.watch.countWatchers()
	return a.decisions.decisions
}

// applyFirstRule applies the first rule that does, and tells whether there was one.
func (a *Instance) applyFirstRule() bool {
	for i := range rules {
		if rules[i].applies(a) {
			rules[i].apply(a)
			return true
		}
	}
	return false
}

// assignmentDue tells whether duties have to be assigned anew.
func (a *Instance) assignmentDue() bool {
	return a.changed && a.view.now-a.assignedAt >= assignmentInterval
}

// assign assigns duties anew after the fleet or the nodes have changed.
func (a *Instance) assign() {
	a.changed, a.assignedAt = false, a.view.now
	a.watch.updateSurplus()
	owned := a.idle.ownedBySelf(&a.nodes)
	a.idle.startAssignment(len(a.nodes.sorted))
	for i, n := range a.nodes.sorted {
		a.idle.setOwned(n, owned[i])
		if n.ejected {
			a.probes.schedule(n)
		}
	}
}

// Shown returns the statistics as they stand after the last call.
func (a *Instance) Shown() Figures {
	return Figures{
		Here:          a.view.members.size(),
		Watchers:      a.watch.watchers,
		WatchAssigned: a.watch.assigned,
		WatchLive:     a.watch.live,
		Kept:          a.idle.ownedNodes,
		Nodes:         a.idle.listedNodes,
		Passed:        a.nodes.ejectedCount(),
		Trials:        a.probes.probesSent,
		Told:          a.probes.reportsReceived,
		Twice:         a.probes.duplicateProbes,
		Refused:       a.probes.rejectedReports,
		Moved:         a.idle.ownershipChanges,
	}
}
