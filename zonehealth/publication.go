package zonehealth

import "slices"

const (
	verdictRepeat      = 10 * Second // time for which a verdict that the zone is in service is reported
	unansweredWindow   = Second      // maximum age of the latest unanswered attempt for an unhealthy vote
	minOriginFetches   = 1           // minimum decayed count of origin fetches for the fraction of late ones to be reported
	reportTTLIntervals = 3           // TTL of a report in repeat intervals,
	reportTTLMargin    = Second      // plus this margin
)

// The interval between two reports on a zone is the sum of a base and a term for each proxy in the fleet, which bounds
// the traffic that a proxy receives. The term for changes of the verdict is the smallest, because such changes are rare
// and all proxies wait for them.
const (
	unchangedInterval         = Second / 2
	unchangedIntervalPerProxy = Second / 200
	changedInterval           = Second / 10
	verdictIntervalPerProxy   = Second / 5000
	voteIntervalPerProxy      = Second / 500
)

// publication is the state of the reports that this proxy publishes on a zone.
type publication struct {
	current Report // own report in the latest vote count, without a proposal
	last    Report // latest published report
	lastAt  Time   // time at which it was published
	watched bool   // there are unhealthy votes, a proposal, or a verdict other than in service
}

// due reports whether a report may be published, given the time since the last publication. A change is published after
// a short interval and an unchanged report after a longer one. Both grow with the size of the fleet.
func (p *publication) due(report *Report, now Time, proxies int) bool {
	sinceLast := now - p.lastAt
	verdictChanged := report.Verdict.compare(&p.last.Verdict) != 0 || (report.Proposal == nil) != (p.last.Proposal == nil)
	voteChanged := report.Vote != p.last.Vote || len(report.UnhealthyNodes) > len(p.last.UnhealthyNodes)
	return sinceLast >= repeatInterval(proxies) ||
		verdictChanged && sinceLast >= changedInterval+Time(proxies)*verdictIntervalPerProxy ||
		voteChanged && sinceLast >= changedInterval+Time(proxies)*voteIntervalPerProxy
}

// repeatInterval returns the interval between two unchanged reports in a fleet with the given number of proxies.
func repeatInterval(proxies int) Time {
	return unchangedInterval + Time(proxies)*unchangedIntervalPerProxy
}

// vote returns the vote of this proxy on a zone.
func (c *Controller) vote(z *zone) Vote {
	e := &z.evidence
	sinceResponse := c.now - e.lastResponseAt
	switch {
	case sinceResponse < c.settings.SilenceTimeout,
		e.unansweredRun == 0 && sinceResponse < c.settings.SilenceTimeout*3/2:
		return VoteHealthy
	case e.unansweredRun >= 1 && c.now-e.lastUnansweredAt < unansweredWindow:
		return VoteUnhealthy
	}
	return NoVote
}

// ownReport returns the report of this proxy on a zone, without a proposal.
func (c *Controller) ownReport(z *zone) Report {
	e := &z.evidence
	e.counts.decay(c.now)
	c.origin.decay(c.now)
	report := Report{
		Zone: c.settings.Zone, Vote: c.vote(z), LastResponseAge: c.now - e.lastResponseAt, UnansweredRun: e.unansweredRun,
		InTime: float32(e.counts.inTime), AnsweredLate: float32(e.counts.late), Unanswered: float32(e.counts.unanswered),
		InFlight: float32(c.load.inFlight), Capacity: float32(c.load.capacity), Verdict: z.verdict,
	}
	if fetches := c.origin.inTime + c.origin.late; fetches >= minOriginFetches {
		report.OriginLateFraction = float32(c.origin.late / fetches)
	}
	switch report.Vote {
	case VoteUnhealthy:
		report.UnhealthyNodes = slices.Clone(e.unhealthyNodes[:min(len(e.unhealthyNodes), maxReportedNodes)])
	case VoteHealthy:
		report.HealthyNodes = c.healthyNodes(z)
	}
	return report
}

// healthyNodes returns the name hashes of nodes in a zone that responded to this proxy within the silence timeout, up to
// maxReportedNodes.
func (c *Controller) healthyNodes(z *zone) []uint32 {
	var hashes []uint32
	for _, n := range c.nodes {
		if n != nil && n.zone == z && c.now-n.lastResponseAt < c.settings.SilenceTimeout && len(hashes) < maxReportedNodes {
			hashes = append(hashes, n.hash)
		}
	}
	return hashes
}

// publish publishes the report on a zone to peers if one is due. It publishes nothing if the zone is in service without
// unhealthy votes and proposals, except for some time after a verdict.
func (c *Controller) publish(z *zone) {
	p := &z.publication
	report := p.current
	report.Proposal = z.proposal
	p.watched = report.Vote == VoteUnhealthy || z.votes.unhealthy > 0 || z.verdict.State != InService || z.proposal != nil
	repeatsVerdict := z.verdict.Epoch > 0 && c.now-z.verdictAt < verdictRepeat
	if !c.fleet.hasPeers() || !p.watched && !repeatsVerdict {
		return
	}
	proxies := len(c.fleet.proxies)
	if !p.due(&report, c.now, proxies) {
		return
	}
	p.last, p.lastAt = report, c.now
	ttl := reportTTLIntervals*repeatInterval(proxies) + reportTTLMargin
	c.decide(Decision{Action: PublishReport, Zone: z.name, Report: report, TTL: ttl})
}
