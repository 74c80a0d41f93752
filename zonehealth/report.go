package zonehealth

const (
	maxReportedNodes = 6 // maximum length of each node list in a report of this proxy
	maxCoveredNodes  = 8 // maximum length of each node list in a report of a peer

	reportFreshness = 5 * Second / 2 // maximum age of a report whose vote is counted
	maxGossipDelay  = Second / 2     // assumed maximum time until a report arrives
)

// Vote is the vote of a proxy on a zone, derived from the outcomes of its own attempts.
type Vote uint8

const (
	// NoVote is the vote of a proxy that has too few attempts in the zone for a healthy or an unhealthy vote.
	NoVote Vote = iota
	// VoteHealthy is the vote of a proxy to which the zone responds.
	VoteHealthy
	// VoteUnhealthy is the vote of a proxy whose attempts are unanswered and that has received no response from the zone
	// within the silence timeout.
	VoteUnhealthy
)

// Report is the report of one proxy on one zone, which its peers receive by gossip. The counts of attempts decay by half
// every two seconds.
type Report struct {
	Zone               string   `msgpack:"z"` // zone of the reporting proxy
	Vote               Vote     `msgpack:"w"`
	LastResponseAge    Time     `msgpack:"d"`           // time since the latest response
	UnansweredRun      int      `msgpack:"r,omitempty"` // unanswered attempts since the latest response
	UnhealthyNodes     []uint32 `msgpack:"i,omitempty"` // name hashes of the nodes with these unanswered attempts
	HealthyNodes       []uint32 `msgpack:"a,omitempty"` // name hashes of nodes that responded within the silence timeout
	InTime             float32  `msgpack:"o"`           // attempts answered in time
	AnsweredLate       float32  `msgpack:"l"`           // attempts answered late or with an error
	Unanswered         float32  `msgpack:"b"`           // unanswered attempts
	OriginLateFraction float32  `msgpack:"g"`           // fraction of late fetches among its origin fetches, 0 to 1
	InFlight           float32  `msgpack:"y"`           // attempts in flight at all caches
	Capacity           float32  `msgpack:"c"`           // attempts in flight that all caches can answer in time
	Verdict            Verdict  `msgpack:"t"`           // verdict on which the reporting proxy acts
	Proposal           *Verdict `msgpack:"p,omitempty"` // verdict that the reporting proxy proposes, nil if none
}

// valid reports whether a report of a peer is within the bounds that this package relies on.
func (r *Report) valid() bool {
	return len(r.UnhealthyNodes) <= maxCoveredNodes && len(r.HealthyNodes) <= maxCoveredNodes &&
		r.Vote <= VoteUnhealthy && r.LastResponseAge >= 0 && r.Verdict.valid() && (r.Proposal == nil || r.Proposal.valid())
}

// latestVerdict returns the proposal of the reporting proxy if it takes precedence over the verdict on which that proxy
// acts, and that verdict otherwise.
func (r *Report) latestVerdict() *Verdict {
	if r.Proposal != nil && r.Proposal.compare(&r.Verdict) > 0 {
		return r.Proposal
	}
	return &r.Verdict
}

// receivedReport is the latest report of a peer on a zone.
type receivedReport struct {
	Report
	proxy string
	at    Time // time at which the report was written, by this proxy's clock
	ttl   Time
}

func (r *receivedReport) expired(now Time) bool { return now-r.at > r.ttl }

func (r *receivedReport) fresh(now Time) bool { return now-r.at <= reportFreshness }

// PeerReport stores the report of another proxy on a zone. The report was written age ago and expires when it is older
// than ttl. A report that is out of bounds, expired or from this proxy itself is ignored, as is one on a zone beyond the
// maximum number of zones.
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
