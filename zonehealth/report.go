package zonehealth

import "slices"

const (
	maxReportedNodes = 6 // in each list of nodes of an own report
	maxCoveredNodes  = 8 // in each list of nodes of a report of a peer

	reportFreshness    = 5 * Second / 2 // the votes of older reports are not counted
	maxGossipDelay     = Second / 2     // that a report takes to arrive
	verdictRepeat      = 10 * Second    // how long a new verdict of state In is reported
	unansweredRecent   = Second         // an unhealthy vote needs an unanswered attempt in this time
	minOriginFetches   = 1              // decayed count of origin fetches from which on the share of late ones is reported
	reportTTLIntervals = 3              // for which a report lives,
	reportTTLMargin    = Second         // and so much longer
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

// Word is the vote of a proxy on a zone, by the outcomes of its own attempts.
type Word uint8

const (
	// None is no vote, for want of attempts.
	None Word = iota
	// For is a healthy vote: the zone answers.
	For
	// Against is an unhealthy vote: attempts are unanswered, and no answer has arrived for Terms.Quiet.
	Against
)

// Voice is the report of one proxy on one zone, which peers receive by gossip. Counts are of attempts, and decay by
// half in two seconds.
type Voice struct {
	Zone            string   `msgpack:"z"` // in which the reporting proxy is
	Word            Word     `msgpack:"w"` // its vote
	LastAnswerAge   Time     `msgpack:"d"`
	Run             int      `msgpack:"r,omitempty"` // attempts in a row that were unanswered since the last answer
	Ill             []uint32 `msgpack:"i,omitempty"` // hashes of names of the nodes that did not answer these
	HealthyNodes    []uint32 `msgpack:"a,omitempty"` // hashes of names of nodes that answered within Terms.Quiet
	InTime          float32  `msgpack:"o"`           // attempts answered in time
	AnsweredLate    float32  `msgpack:"l"`           // attempts answered late or with an error
	Lost            float32  `msgpack:"b"`           // unanswered attempts
	OriginLateShare float32  `msgpack:"g"`           // of its origin fetches the share that is late, 0 to 1
	InFlight        float32  `msgpack:"y"`           // its attempts in flight at all caches
	Capacity        float32  `msgpack:"c"`           // how many of these all caches answer in time
	Stand           Stand    `msgpack:"t"`           // verdict on which it acts
	Plan            *Stand   `msgpack:"p,omitempty"` // verdict that it proposes, nil: none
}

// valid reports whether a report of a peer is within the bounds that this version relies on.
func (v *Voice) valid() bool {
	return len(v.Ill) <= maxCoveredNodes && len(v.HealthyNodes) <= maxCoveredNodes &&
		v.Word <= Against && v.LastAnswerAge >= 0 && v.Stand.valid() && (v.Plan == nil || v.Plan.valid())
}

// latestVerdict is the verdict that the reporting proxy acts on, or the one that it proposes if that takes precedence.
func (v *Voice) latestVerdict() *Stand {
	if v.Plan != nil && v.Plan.compare(&v.Stand) > 0 {
		return v.Plan
	}
	return &v.Stand
}

// receivedReport is the latest report of a peer on a zone.
type receivedReport struct {
	Voice
	proxy string
	at    Time // when it was written, by this proxy's clock
	ttl   Time
}

func (r *receivedReport) expired(now Time) bool { return now-r.at > r.ttl }

func (r *receivedReport) fresh(now Time) bool { return now-r.at <= reportFreshness }

// publication is what this proxy has published on a zone.
type publication struct {
	current Voice // as the last vote count had it
	last    Voice
	lastAt  Time
	watched bool // there is something to report
}

// due reports whether the time since the last publication allows another one: a change is published at once, within
// bounds that follow from the size of the fleet, and the rest at an interval.
func (p *publication) due(report *Voice, now, interval, fleetSize Time) bool {
	sinceLast := now - p.lastAt
	verdictChanged := report.Stand.compare(&p.last.Stand) != 0 || (report.Plan == nil) != (p.last.Plan == nil)
	voteChanged := report.Word != p.last.Word || len(report.Ill) > len(p.last.Ill)
	return sinceLast >= interval ||
		verdictChanged && sinceLast >= changedInterval+fleetSize*verdictIntervalPerProxy ||
		voteChanged && sinceLast >= changedInterval+fleetSize*voteIntervalPerProxy
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
	fleetSize := Time(len(c.fleet.proxies))
	interval := unchangedInterval + fleetSize*unchangedIntervalPerProxy
	if !p.due(&report, c.now, interval, fleetSize) {
		return
	}
	p.last, p.lastAt = report, c.now
	c.decide(Decision{Act: Speak, Zone: z.name, Voice: report, Life: reportTTLIntervals*interval + reportTTLMargin})
}

// Voice takes the report v of the proxy named from on a zone, written age ago, which counts until it is ttl old. A
// report that is out of bounds, too old, or this proxy's own is ignored.
func (c *Instance) Voice(now Time, from, of string, v Voice, age, ttl Time) []Decision {
	c.begin(now)
	z := c.findOrAddZone(of)
	if z == nil || from == c.settings.Me || age > ttl || !v.valid() {
		return c.decisions
	}
	received := z.storeReport(from, v, c.now-age, ttl)
	if received.latestVerdict().compare(&z.verdict) > 0 {
		c.judge(z)
		c.applyShares()
	}
	return c.decisions
}
