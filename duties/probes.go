package duties

import (
	"math/bits"
	"slices"
)

const (
	// reportWindowIntervals is the number of probe intervals for which a probe report is taken into account.
	reportWindowIntervals = 8

	// maxRecentReports is the maximum number of recent probers, and of recent failure reports, kept for each node.
	maxRecentReports = 8

	// maxRoundJump is the maximum number of rounds by which a report may be ahead of the current round, so that a bad
	// report cannot exhaust the round numbers.
	maxRoundJump = 1 << 20

	// maxSuccessReporters is the number of proxies that have to report a successful probe before all proxies probe the node.
	maxSuccessReporters = 2

	// probersAfterSuccess is the number of proxies that probe the node at once after one has reported a successful probe.
	probersAfterSuccess = 4

	// recentProberDelays is the number of additional takeover delays for a proxy that probed the node recently, which
	// ranks it after most other proxies.
	recentProberDelays = 2
)

// reportWindow returns the time for which a probe report is taken into account.
func (v *fleetView) reportWindow() Time { return reportWindowIntervals * v.settings.ProbeInterval }

// oldestReport returns the time of the oldest probe report that is still taken into account.
func (v *fleetView) oldestReport() Time { return v.now - v.reportWindow() }

// probeHistory is the history of the fleet's probes of one node.
type probeHistory struct {
	round            int64         // number of the current probe; proxies are ranked differently in each round
	lastProbe        Time          // when the latest accepted probe was sent, or when the node was first ejected
	recentProbers    recentReports // proxies that sent a probe recently
	falseSuccesses   recentReports // proxies whose recent report of success was followed by a failed probe
	successReporters []string      // proxies that reported success since the last failed probe, at most maxSuccessReporters
	scheduledProbe   Time          // time in the last ScheduleProbe decision, 0 if a new decision is needed
}

// probeScheduler decides when this proxy probes the nodes that it has ejected, so that the whole fleet sends about one
// probe of a node in each probe interval.
type probeScheduler struct {
	view      *fleetView
	decisions *decisionList

	// The counters that [Stats] describes.
	probesSent      int64
	reportsReceived int64
	duplicateProbes int64
	rejectedReports int64
}

// setEjected records that this proxy has ejected a node, or that the node responds to this proxy again.
func (s *probeScheduler) setEjected(n *node, ejected bool) {
	if n.ejected == ejected {
		return
	}
	n.ejected = ejected
	if !ejected {
		// after a recent probe, other proxies that have ejected the node wait for a report of success
		if n.probes.lastProbe+s.view.reportWindow() > s.view.now {
			s.report(n, ProbeSucceeded)
		}
		return
	}
	if n.probes.lastProbe < s.view.oldestReport() { // without a recent probe, this proxy's failed requests count as one
		n.probes.lastProbe = s.view.now
		n.probes.successReporters = n.probes.successReporters[:0]
	}
	s.report(n, ProbeFailed)
}

// sent records that this proxy has sent a probe, and reports it to the other proxies.
func (s *probeScheduler) sent(n *node) {
	if n.ejected {
		s.probesSent++
		s.report(n, ProbeStarted)
	}
}

// failed records that the node did not respond to this proxy's probe, and reports it to the other proxies.
func (s *probeScheduler) failed(n *node) {
	if n.ejected {
		s.report(n, ProbeFailed)
	}
}

// report records the outcome of this proxy's own probe, reports it to the other proxies, and schedules the next probe.
func (s *probeScheduler) report(n *node, outcome ProbeOutcome) {
	if outcome == ProbeStarted {
		n.probes.round++
	}
	s.record(n, s.view.settings.Self, s.view.now, outcome)
	s.decisions.add(Decision{
		Action: Broadcast, Kind: ProbeReport, Key: n.name,
		Report: Report{Round: n.probes.round, Outcome: outcome}, TTL: s.view.reportWindow(),
	})
	n.probes.scheduledProbe = 0 // the caller has replaced the scheduled time by its own
	s.schedule(n)
}

// accepts reports whether another proxy's report concerns a known node (not nil), is within bounds, and is recent.
func (s *probeScheduler) accepts(n *node, report Report, age Time) bool {
	return n != nil && s.view.settings.ShareProbes &&
		report.Round >= 0 && report.Round <= n.probes.round+maxRoundJump &&
		report.Outcome <= ProbeSucceeded && age <= s.view.reportWindow()
}

// peerReported handles a report of the given age from another proxy, and reports whether it was accepted.
func (s *probeScheduler) peerReported(n *node, proxy string, report Report, age Time) bool {
	if !s.accepts(n, report, age) {
		s.rejectedReports++
		return false
	}
	s.reportsReceived++
	at := s.view.now - age
	if report.Outcome == ProbeStarted && at < n.probes.lastProbe+s.view.settings.ProbeInterval/2 {
		s.duplicateProbes++
	}
	n.probes.round = max(n.probes.round, report.Round)
	if s.record(n, proxy, at, report.Outcome) && n.ejected {
		s.schedule(n)
	}
	return true
}

// record records a probe report, and returns whether it may change the schedule. Its limits bound the effect of a faulty
// proxy: one that reports every probe as started but sends none delays the other proxies' probes by about one interval in
// eight, and one that reports success for a node that does not respond causes four probes.
func (s *probeScheduler) record(n *node, proxy string, at Time, outcome ProbeOutcome) bool {
	oldest := s.view.oldestReport()
	n.probes.recentProbers = n.probes.recentProbers.since(oldest)
	n.probes.falseSuccesses = n.probes.falseSuccesses.since(oldest)
	switch outcome {
	case ProbeStarted:
		return s.recordStart(&n.probes, proxy, at)
	case ProbeFailed:
		s.recordFailure(&n.probes, proxy, at)
	case ProbeSucceeded:
		s.recordSuccess(&n.probes, proxy)
	}
	return true
}

// recordStart starts a new probe interval and returns true, unless the proxy has probed the node recently.
func (s *probeScheduler) recordStart(p *probeHistory, proxy string, at Time) bool {
	if p.recentProbers.includes(proxy) {
		return false
	}
	p.recentProbers = append(p.recentProbers, timedReport{proxy, at})
	if len(p.recentProbers) > min(max(s.view.members.size()/4, 1), maxRecentReports) {
		p.recentProbers = p.recentProbers[1:]
	}
	p.lastProbe = max(p.lastProbe, at)
	return true
}

// recordFailure marks the reports of success since the previous failure as false.
func (s *probeScheduler) recordFailure(p *probeHistory, proxy string, at Time) {
	s.recordStart(p, proxy, at) // the report that the probe was sent may have been lost
	for _, reporter := range p.successReporters {
		p.falseSuccesses = append(p.falseSuccesses, timedReport{reporter, s.view.now})
	}
	p.successReporters = p.successReporters[:0]
}

// recordSuccess records a report of success, unless the proxy recently made a false one.
func (s *probeScheduler) recordSuccess(p *probeHistory, proxy string) {
	if !slices.Contains(p.successReporters, proxy) && len(p.successReporters) < maxSuccessReporters &&
		!p.falseSuccesses.includes(proxy) {
		p.successReporters = append(p.successReporters, proxy)
	}
}

// schedule adds a decision on the time of this proxy's next probe of a node, if that time has changed. It adds none
// while the proxy catches up or has no peers: then the caller sends probes at the times it chooses itself.
func (s *probeScheduler) schedule(n *node) {
	if s.view.catchingUp || s.view.members.size() < 2 {
		return
	}
	at := s.nextProbe(n)
	if n.probes.scheduledProbe != at {
		n.probes.scheduledProbe = at
		s.decisions.add(Decision{Action: ScheduleProbe, Node: n.name, NotBefore: at})
	}
}

// nextProbe returns the time from which this proxy may probe a node. The first proxy in the order of the round may send
// a probe after the probe interval. The number of proxies that may do so doubles with each takeover delay without a
// reported probe. After a report of success from one proxy, the first four proxies probe at once; after reports from
// two, all proxies do.
func (s *probeScheduler) nextProbe(n *node) Time {
	p := &n.probes
	rank := s.view.selfRank(n.hash ^ mix(uint64(p.round)))
	if len(p.successReporters) >= maxSuccessReporters {
		return s.view.now
	}
	if len(p.successReporters) > 0 && rank < probersAfterSuccess {
		return s.view.now
	}
	delays := bits.Len(uint(rank))
	if p.recentProbers.includes(s.view.settings.Self) {
		delays += recentProberDelays
	}
	return p.lastProbe + s.view.settings.ProbeInterval + Time(delays)*s.view.settings.TakeoverDelay
}
