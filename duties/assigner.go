package duties

// assignmentInterval is the minimum interval between two assignments, however often the fleet changes.
const assignmentInterval = Second / 5

// Assigner decides which duties one proxy performs. It is not safe for concurrent use. The next call reuses the slice
// of decisions that a method returns. A time earlier than that of a previous call is replaced by the previous one.
type Assigner struct {
	view      fleetView
	decisions decisionList
	nodes     nodeTable
	probes    probeScheduler
	suspicion suspicion
	idle      idleConnections
	watch     watchDuty

	changed    bool // whether the fleet or the nodes have changed since the last assignment
	assignedAt Time // time of the last assignment
}

// New returns an assigner without peers and nodes. Its proxy performs every duty itself until SetMembers and SetNodes
// are called. The settings must pass their Check method.
func New(now Time, settings Settings) *Assigner {
	a := &Assigner{
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

// begin starts a call at the given time of the caller's clock, and discards the decisions of the previous call.
func (a *Assigner) begin(now Time) {
	a.view.now = max(now, a.view.now)
	a.decisions.reset()
}

// SetMembers sets all proxies, including this one, and whether this proxy is still catching up with the replicated
// state. While it is catching up, it leaves no duty to other proxies.
func (a *Assigner) SetMembers(now Time, all []Proxy, catchingUp bool) []Decision {
	a.begin(now)
	members := newMembership(all)
	if !members.equal(a.view.members) || catchingUp != a.view.catchingUp {
		a.changed = true
	}
	a.view.members, a.view.catchingUp = members, catchingUp
	return a.decisions.decisions
}

// SetNodes sets the names of all nodes in the endpoint list.
func (a *Assigner) SetNodes(now Time, names []string) []Decision {
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

// probedNode returns the named node, or nil if the node is unknown or probes are not shared.
func (a *Assigner) probedNode(name string) *node {
	if !a.view.settings.ShareProbes {
		return nil
	}
	return a.nodes.byName[name]
}

// SetEjected records that this proxy has ejected a node, or that the node responds to this proxy again.
func (a *Assigner) SetEjected(now Time, name string, ejected bool) []Decision {
	a.begin(now)
	if n := a.probedNode(name); n != nil {
		a.probes.setEjected(n, ejected)
	}
	return a.decisions.decisions
}

// ProbeSent records that this proxy has sent a probe to a node that it ejected.
func (a *Assigner) ProbeSent(now Time, name string) []Decision {
	a.begin(now)
	if n := a.probedNode(name); n != nil {
		a.probes.sent(n)
	}
	return a.decisions.decisions
}

// ProbeFailed records that the node did not respond to this proxy's probe.
func (a *Assigner) ProbeFailed(now Time, name string) []Decision {
	a.begin(now)
	if n := a.probedNode(name); n != nil {
		a.probes.failed(n)
	}
	return a.decisions.decisions
}

// HandleReport handles a report of the given age from another proxy. It ignores reports with a negative age, from this
// proxy itself, and from proxies that are not alive. Probe reports that are out of bounds are counted as rejected.
func (a *Assigner) HandleReport(now Time, from string, kind ReportKind, key string, report Report, age Time) []Decision {
	a.begin(now)
	if from == a.view.settings.Self || age < 0 || !a.view.members.contains(from) {
		return a.decisions.decisions
	}
	sentAt := a.view.now - age
	switch kind {
	case ProbeReport:
		n := a.nodes.byName[key]
		if a.probes.peerReported(n, from, report, age) {
			a.suspicion.reported(n, from, sentAt, report.Outcome)
		}
	case WatchHeartbeat:
		a.watch.renewLease(from, sentAt, report.ValidFor)
	}
	return a.decisions.decisions
}

// SetWatchLive records whether this proxy's discovery watch works. A watch that ended, or that received nothing for
// too long, does not work.
func (a *Assigner) SetWatchLive(now Time, live bool) []Decision {
	a.begin(now)
	a.watch.live = live
	return a.decisions.decisions
}

// rule is an action that Tick applies when its condition holds.
type rule struct {
	applies func(a *Assigner) bool
	apply   func(a *Assigner)
}

// rules are checked in this order. After a rule is applied, the check starts again with the first one.
var rules = []rule{
	{applies: (*Assigner).assignmentDue, apply: (*Assigner).assign},
	{applies: (*Assigner).heartbeatDue, apply: (*Assigner).sendHeartbeat},
	{applies: (*Assigner).watchShortageChanged, apply: (*Assigner).toggleWatchShortage},
	{applies: (*Assigner).watchAssignmentChanged, apply: (*Assigner).toggleWatchAssignment},
}

func (a *Assigner) heartbeatDue() bool           { return a.watch.heartbeatDue() }
func (a *Assigner) sendHeartbeat()               { a.watch.sendHeartbeat() }
func (a *Assigner) watchShortageChanged() bool   { return a.watch.shortageChanged() }
func (a *Assigner) toggleWatchShortage()         { a.watch.toggleShortage() }
func (a *Assigner) watchAssignmentChanged() bool { return a.watch.assignmentChanged() }
func (a *Assigner) toggleWatchAssignment()       { a.watch.toggleAssignment() }

// Tick makes the decisions that depend on time. The caller calls it about ten times a second.
func (a *Assigner) Tick(now Time) []Decision {
	a.begin(now)
	a.watch.expireLeases()
	for a.applyFirstRule() {
	}
	a.watch.watchers = a.watch.countWatchers()
	return a.decisions.decisions
}

// applyFirstRule applies the first rule whose condition holds, and reports whether there was one.
func (a *Assigner) applyFirstRule() bool {
	for i := range rules {
		if rules[i].applies(a) {
			rules[i].apply(a)
			return true
		}
	}
	return false
}

// assignmentDue reports whether duties have to be reassigned.
func (a *Assigner) assignmentDue() bool {
	return a.changed && a.view.now-a.assignedAt >= assignmentInterval
}

// assign reassigns duties after the fleet or the nodes have changed.
func (a *Assigner) assign() {
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

// Statistics returns the statistics as of the last call.
func (a *Assigner) Statistics() Stats {
	return Stats{
		Alive:            a.view.members.size(),
		Watchers:         a.watch.watchers,
		WatchAssigned:    a.watch.assigned,
		WatchLive:        a.watch.live,
		OwnedNodes:       a.idle.ownedNodes,
		Nodes:            a.idle.listedNodes,
		EjectedNodes:     a.nodes.ejectedCount(),
		ProbesSent:       a.probes.probesSent,
		ReportsReceived:  a.probes.reportsReceived,
		DuplicateProbes:  a.probes.duplicateProbes,
		RejectedReports:  a.probes.rejectedReports,
		OwnershipChanges: a.idle.ownershipChanges,
	}
}
