package zonehealth

import "slices"

const (
	verdictRepeat      = 10 * Second // how long a verdict that the zone is in service is reported
	unansweredWindow   = Second      // an unhealthy vote needs an unanswered attempt in this time
	minOriginFetches   = 1           // decayed count of origin fetches from which on the share of late ones is reported
	reportTTLIntervals = 3           // for which a report lives,
	reportTTLMargin    = Second      // and so much longer
)

// The time between two reports on a zone is a base and a part for each proxy in the fleet, which bounds the traffic
// that a proxy receives. Changes of the verdict are few, and all proxies wait for them.
const (
	unchangedInterval         = Second / 2
	unchangedIntervalPerProxy = Second / 200
	changedInterval           = Second / 10
	verdictIntervalPerProxy   = Second / 5000
	voteIntervalPerProxy      = Second / 500
)

// publication is what this proxy has published on a zone.
type publication struct {
	current Report // as the last vote count had it
	last    Report
	lastAt  Time
	watched bool // there is something to report
}

// due reports whether the time since the last publication allows another one: a change is published at once, within
// bounds that follow from the size of the fleet, and the rest at an interval.
func (p *publication) due(report *Report, now Time, proxies int) bool {
	sinceLast := now - p.lastAt
	verdictChanged := report.Verdict.compare(&p.last.Verdict) != 0 || (report.Proposal == nil) != (p.last.Proposal == nil)
	voteChanged := report.Vote != p.last.Vote || len(report.UnhealthyNodes) > len(p.last.UnhealthyNodes)
	return sinceLast >= repeatInterval(proxies) ||
		verdictChanged && sinceLast >= changedInterval+Time(proxies)*verdictIntervalPerProxy ||
		voteChanged && sinceLast >= changedInterval+Time(proxies)*voteIntervalPerProxy
}

// repeatInterval is the time between two unchanged reports, in a fleet of so many proxies.
func repeatInterval(proxies int) Time {
	return unchangedInterval + Time(proxies)*unchangedIntervalPerProxy
}

// vote is the vote of this proxy on a zone.
func (c *Controller) vote(z *zone) Vote {
	e := &z.evidence
	sinceAnswer := c.now - e.lastResponseAt
	switch {
	case sinceAnswer < c.settings.SilenceTimeout,
		e.unansweredRun == 0 && sinceAnswer < c.settings.SilenceTimeout*3/2:
		return VoteHealthy
	case e.unansweredRun >= 1 && c.now-e.lastUnansweredAt < unansweredWindow:
		return VoteUnhealthy
	}
	return NoVote
}

// ownReport is the report of this proxy on a zone, without a proposal.
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

// healthyNodes are the hashes of the first nodes of a zone that answered this proxy within the silence timeout.
func (c *Controller) healthyNodes(z *zone) []uint32 {
	var hashes []uint32
	for _, n := range c.nodes {
		if n != nil && n.zone == z && c.now-n.lastResponseAt < c.settings.SilenceTimeout && len(hashes) < maxReportedNodes {
			hashes = append(hashes, n.hash)
		}
	}
	return hashes
}

// publish sends the report on a zone to peers while there is something to report.
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
