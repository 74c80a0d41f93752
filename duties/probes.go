package duties

import (
	"math/bits"
	"slices"
)

const (
	// reportWindowIntervals is how many probe intervals a report on a probe counts for.
	reportWindowIntervals = 8

	// maxRecentReports bounds the proxies whose latest reports are remembered for each node.
	maxRecentReports = 8

	// maxRoundJump bounds how far a report may be ahead of the known round, so that a bad one cannot exhaust the
	// numbers.
	maxRoundJump = 1 << 20

	// maxAnsweredBy is how many proxies have to report an answer before all proxies probe the node.
	maxAnsweredBy = 2

	// probersAfterAnswer is how many proxies probe the node at once when one has reported an answer.
	probersAfterAnswer = 4

	// recentProberDelays is the number of takeover delays that a proxy adds if it has probed the node lately, which
	// puts it after most others.
	recentProberDelays = 2
)

// reportWindow is the span in which reports on probes count.
func (v *fleetView) reportWindow() Time { return reportWindowIntervals * v.settings.ProbeInterval }

// oldestReport is the earliest instant from which reports on probes still count.
func (v *fleetView) oldestReport() Time { return v.now - v.reportWindow() }

// probeHistory is what is known of the fleet's probes of one node.
type probeHistory struct {
	round          int64
	latest         Time          // when the latest probe that counts was sent, or when the node was first ejected
	recentProbers  recentReports // proxies that have sent a probe lately
	falseAnswers   recentReports // proxies that lately reported an answer when the node did not answer
	answeredBy     []string      // proxies that report an answer since the last failed probe, maxAnsweredBy at most
	scheduledProbe Time          // as the caller was last told, 0: not told
}

// probeScheduler decides when this proxy probes the nodes that it has ejected, so that the fleet as a whole sends
// one probe in each probe interval.
type probeScheduler struct {
	view      *fleetView
	decisions *decisionList

	probesSent      int64
	reportsReceived int64
	duplicateProbes int64
	rejectedReports int64
}

// setEjected records that this proxy has ejected a node, or that the node answers here.
func (s *probeScheduler) setEjected(n *node, ejected bool) {
	if n.ejected == ejected {
		return
	}
	n.ejected = ejected
	if !ejected {
		if n.probes.latest+s.view.reportWindow() > s.view.now { // others have ejected it as well and wait for this report
			s.report(n, ProbeSucceeded)
		}
		return
	}
	if n.probes.latest < s.view.oldestReport() { // nobody has probed it: what this proxy found is as good as a probe
		n.probes.latest = s.view.now
		n.probes.answeredBy = n.probes.answeredBy[:0]
	}
	s.report(n, ProbeFailed)
}

// sent records that a probe of this proxy's was sent.
func (s *probeScheduler) sent(n *node) {
	if n.ejected {
		s.probesSent++
		s.report(n, ProbeStarted)
	}
}

// failed records that a probe of this proxy's was not answered.
func (s *probeScheduler) failed(n *node) {
	if n.ejected {
		s.report(n, ProbeFailed)
	}
}

// report records the state of this proxy's own probe, sends it to the other proxies, and schedules the next probe.
func (s *probeScheduler) report(n *node, outcome ProbeOutcome) {
	if outcome == ProbeStarted {
		n.probes.round++
	}
	s.record(n, s.view.settings.Self, s.view.now, outcome)
	s.decisions.add(Decision{
		Action: Broadcast, Kind: ProbeReport, Key: n.name,
		Report: Report{Round: n.probes.round, Outcome: outcome}, TTL: s.view.reportWindow(),
	})
	n.probes.scheduledProbe = 0 // the caller has chosen a time of its own meanwhile
	s.schedule(n)
}

// accepts tells whether another proxy's report is about a known node (not nil), within bounds, and recent.
func (s *probeScheduler) accepts(n *node, report Report, age Time) bool {
	return n != nil && s.view.settings.ShareProbes &&
		report.Round >= 0 && report.Round <= n.probes.round+maxRoundJump &&
		report.Outcome <= ProbeSucceeded && age <= s.view.reportWindow()
}

// peerReported handles another proxy's report of the given age, and tells whether it was accepted.
func (s *probeScheduler) peerReported(n *node, proxy string, report Report, age Time) bool {
	if !s.accepts(n, report, age) {
		s.rejectedReports++
		return false
	}
	s.reportsReceived++
	at := s.view.now - age
	if report.Outcome == ProbeStarted && at < n.probes.latest+s.view.settings.ProbeInterval/2 {
		s.duplicateProbes++
	}
	n.probes.round = max(n.probes.round, report.Round)
	if s.record(n, proxy, at, report.Outcome) && n.ejected {
		s.schedule(n)
	}
	return true
}

// record notes a report on a probe, and tells whether it counts. Its limits bound what a faulty proxy can do: one
// that claims every probe and sends none delays the others by one interval in eight or so, and one that reports of a
// silent node that it answers causes four probes.
func (s *probeScheduler) record(n *node, proxy string, at Time, outcome ProbeOutcome) bool {
	oldest := s.view.oldestReport()
	n.probes.recentProbers = n.probes.recentProbers.since(oldest)
	n.probes.falseAnswers = n.probes.falseAnswers.since(oldest)
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

// recordStart begins a new probe interval, unless the proxy has probed the node lately.
func (s *probeScheduler) recordStart(p *probeHistory, proxy string, at Time) bool {
	if p.recentProbers.includes(proxy) {
		return false
	}
	p.recentProbers = append(p.recentProbers, timedReport{proxy, at})
	if len(p.recentProbers) > min(max(s.view.members.size()/4, 1), maxRecentReports) {
		p.recentProbers = p.recentProbers[1:]
	}
	p.latest = max(p.latest, at)
	return true
}

// recordFailure makes the reports of answers before it false ones.
func (s *probeScheduler) recordFailure(p *probeHistory, proxy string, at Time) {
	s.recordStart(p, proxy, at) // the report that the probe was sent may have been lost
	for _, answered := range p.answeredBy {
		p.falseAnswers = append(p.falseAnswers, timedReport{answered, s.view.now})
	}
	p.answeredBy = p.answeredBy[:0]
}

// recordSuccess notes an answer, unless the proxy reported a false one lately.
func (s *probeScheduler) recordSuccess(p *probeHistory, proxy string) {
	if !slices.Contains(p.answeredBy, proxy) && len(p.answeredBy) < maxAnsweredBy && !p.falseAnswers.includes(proxy) {
		p.answeredBy = append(p.answeredBy, proxy)
	}
}

// schedule tells the caller when this proxy may send its next probe of a node, if that has changed. A proxy that
// catches up, or has no peers, goes by its own clock.
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

// nextProbe is when this proxy may probe a node. The first proxy in the order of the round may when the probe
// interval is over, and twice as many with each takeover delay in which no probe is reported. When one proxy reports
// an answer, the first four probe at once; when two do, all proxies.
func (s *probeScheduler) nextProbe(n *node) Time {
	p := &n.probes
	rank := s.view.selfRank(n.hash ^ mix(uint64(p.round)))
	if len(p.answeredBy) >= maxAnsweredBy {
		return s.view.now
	}
	if len(p.answeredBy) > 0 && rank < probersAfterAnswer {
		return s.view.now
	}
	delays := bits.Len(uint(rank))
	if p.recentProbers.includes(s.view.settings.Self) {
		delays += recentProberDelays
	}
	return p.latest + s.view.settings.ProbeInterval + Time(delays)*s.view.settings.TakeoverDelay
}
