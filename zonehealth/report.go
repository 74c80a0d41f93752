package zonehealth

const (
	maxReportedNodes = 6 // in each list of nodes of an own report
	maxCoveredNodes  = 8 // in each list of nodes of a report of a peer

	reportFreshness = 5 * Second / 2 // the votes of older reports are not counted
	maxGossipDelay  = Second / 2     // that a report takes to arrive
)

// Vote is the vote of a proxy on a zone, by the outcomes of its own attempts.
type Vote uint8

const (
	// NoVote is no vote, for want of attempts.
	NoVote Vote = iota
	// VoteHealthy is a healthy vote: the zone answers.
	VoteHealthy
	// VoteUnhealthy is an unhealthy vote: attempts are unanswered, and no answer has arrived within the silence timeout.
	VoteUnhealthy
)

// Report is the report of one proxy on one zone, which peers receive by gossip. Counts are of attempts, and decay by
// half in two seconds.
type Report struct {
	Zone               string   `msgpack:"z"` // in which the reporting proxy is
	Vote               Vote     `msgpack:"w"` // its vote
	LastResponseAge    Time     `msgpack:"d"`
	UnansweredRun      int      `msgpack:"r,omitempty"` // attempts in a row that were unanswered since the last answer
	UnhealthyNodes     []uint32 `msgpack:"i,omitempty"` // hashes of names of the nodes that did not answer these
	HealthyNodes       []uint32 `msgpack:"a,omitempty"` // hashes of names of nodes that answered within the silence timeout
	InTime             float32  `msgpack:"o"`           // attempts answered in time
	AnsweredLate       float32  `msgpack:"l"`           // attempts answered late or with an error
	Unanswered         float32  `msgpack:"b"`           // unanswered attempts
	OriginLateFraction float32  `msgpack:"g"`           // of its origin fetches the share that is late, 0 to 1
	InFlight           float32  `msgpack:"y"`           // its attempts in flight at all caches
	Capacity           float32  `msgpack:"c"`           // how many of these all caches answer in time
	Verdict            Verdict  `msgpack:"t"`           // verdict on which it acts
	Proposal           *Verdict `msgpack:"p,omitempty"` // verdict that it proposes, nil: none
}

// valid reports whether a report of a peer is within the bounds that this version relies on.
func (v *Report) valid() bool {
	return len(v.UnhealthyNodes) <= maxCoveredNodes && len(v.HealthyNodes) <= maxCoveredNodes &&
		v.Vote <= VoteUnhealthy && v.LastResponseAge >= 0 && v.Verdict.valid() && (v.Proposal == nil || v.Proposal.valid())
}

// latestVerdict is the verdict that the reporting proxy acts on, or the one that it proposes if that takes precedence.
func (v *Report) latestVerdict() *Verdict {
	if v.Proposal != nil && v.Proposal.compare(&v.Verdict) > 0 {
		return v.Proposal
	}
	return &v.Verdict
}

// receivedReport is the latest report of a peer on a zone.
type receivedReport struct {
	Report
	proxy string
	at    Time // when it was written, by this proxy's clock
	ttl   Time
}

func (r *receivedReport) expired(now Time) bool { return now-r.at > r.ttl }

func (r *receivedReport) fresh(now Time) bool { return now-r.at <= reportFreshness }

// PeerReport takes the report of another proxy on a zone, which was written age ago and counts until it is ttl old. A report
// that is out of bounds, too old, or this proxy's own is ignored.
func (c *Controller) PeerReport(now Time, proxy, zoneName string, report Report, age, ttl Time) []Decision {
	c.begin(now)
	z := c.findOrAddZone(zoneName)
	if z == nil || proxy == c.settings.ProxyName || age > ttl || !report.valid() {
		return c.decisions
	}
	received := z.storeReport(proxy, report, c.now-age, ttl)
	if received.latestVerdict().compare(&z.verdict) > 0 {
		c.evaluate(z)
		c.applyServedFractions()
	}
	return c.decisions
}
