package zonehealth

import "slices"

const (
	verdictRepeat      = 10 * Second // how long a verdict that the zone is in service is reported
	unansweredRecent   = Second      // an unhealthy vote needs an unanswered attempt in this time
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
	current Voice // as the last vote count had it
	last    Voice
	lastAt  Time
	watched bool // there is something to report
}

// due reports whether the time since the last publication allows another one: a change is published at once, within
// bounds that follow from the size of the fleet, and the rest at an interval.
func (p *publication) due(report *Voice, now Time, proxies int) bool {
	sinceLast := now - p.lastAt
	verdictChanged := report.Stand.compare(&p.last.Stand) != 0 || (report.Plan == nil) != (p.last.Plan == nil)
	voteChanged := report.Word != p.last.Word || len(report.Ill) > len(p.last.Ill)
	return sinceLast >= repeatInterval(proxies) ||
		verdictChanged && sinceLast >= changedInterval+Time(proxies)*verdictIntervalPerProxy ||
		voteChanged && sinceLast >= changedInterval+Time(proxies)*voteIntervalPerProxy
}

// repeatInterval is the time between two unchanged reports, in a fleet of so many proxies.
func repeatInterval(proxies int) Time {
	return unchangedInterval + Time(proxies)*unchangedIntervalPerProxy
}

// vote is the vote of this proxy on a zone.
func (c *Instance) vote(z *zone) Word {
	e := &z.evidence
	sinceAnswer := c.now - e.answeredAt
	switch {
	case sinceAnswer < c.settings.Quiet,
		e.unansweredRun == 0 && sinceAnswer < c.settings.Quiet*3/2:
		return For
	case e.unansweredRun >= 1 && c.now-e.unansweredAt < unansweredRecent:
		return Against
	}
	return None
}

// ownReport is the report of this proxy on a zone, without a proposal.
func (c *Instance) ownReport(z *zone) Voice {
	e := &z.evidence
	e.counts.decay(c.now)
	c.origin.decay(c.now)
	report := Voice{
		Zone: c.settings.Zone, Word: c.vote(z), LastAnswerAge: c.now - e.answeredAt, Run: e.unansweredRun,
		InTime: float32(e.counts.inTime), AnsweredLate: float32(e.counts.late), Lost: float32(e.counts.unanswered),
		InFlight: float32(c.load.inFlight), Capacity: float32(c.load.capacity), Stand: z.verdict,
	}
	if fetches := c.origin.inTime + c.origin.late; fetches >= minOriginFetches {
		report.OriginLateShare = float32(c.origin.late / fetches)
	}
	switch report.Word {
	case Against:
		report.Ill = slices.Clone(e.unhealthyNodes[:min(len(e.unhealthyNodes), maxReportedNodes)])
	case For:
		report.HealthyNodes = c.healthyNodes(z)
	}
	return report
}

// healthyNodes are the hashes of the first nodes of a zone that answered this proxy within the silence timeout.
func (c *Instance) healthyNodes(z *zone) []uint32 {
	var hashes []uint32
	for _, n := range c.nodes {
		if n != nil && n.zone == z && c.now-n.answeredAt < c.settings.Quiet && len(hashes) < maxReportedNodes {
			hashes = append(hashes, n.hash)
		}
	}
	return hashes
}

// publish sends the report on a zone to peers while there is something to report.
func (c *Instance) publish(z *zone) {
	p := &z.publication
	report := p.current
	report.Plan = z.proposal
	p.watched = report.Word == Against || z.votes.unhealthy > 0 || z.verdict.State != In || z.proposal != nil
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
	c.decide(Decision{Act: Speak, Zone: z.name, Voice: report, Life: ttl})
}
