package zonehealth

import "slices"

// ZoneStatus is the status of a zone, for operators.
type ZoneStatus struct {
	Name                         string
	Nodes                        int
	ServedFraction               float64  // fraction of its keys that the zone serves, 0 to 1
	Verdict                      Verdict  // verdict on which this proxy acts
	Standalone                   bool     // this proxy has evacuated the zone standalone or is ramping it up
	ServedLocally                bool     // not in service for the fleet, but responds to this proxy, which is in the zone
	Override                     Override // epoch 0 if there is none
	UnhealthyVotes, HealthyVotes int
	UnhealthyVoteZones           int      // number of zones of the proxies with an unhealthy vote
	UnhealthyVoters              []string // names of these proxies
	Watched                      bool     // there are unhealthy votes, a proposal, or a verdict other than in service
	VerdictAge                   Time     // time since this proxy adopted the verdict

	// Numbers of proxies, among those that act on the same verdict: with attempts in the zone, with most attempts answered
	// in time, with more than a quarter unanswered, and with too many answered late.
	Attempted, InTime, Unanswered, Late int
}

// Statuses returns the status of all zones, sorted by name. The caller owns the slice.
func (c *Controller) Statuses(now Time) []ZoneStatus {
	c.now = max(now, c.now)
	statuses := make([]ZoneStatus, 0, len(c.zones))
	for _, z := range c.zones {
		statuses = append(statuses, c.status(z))
	}
	return statuses
}

func (c *Controller) status(z *zone) ZoneStatus {
	v := &z.votes
	return ZoneStatus{
		Name: z.name, Nodes: z.nodes, ServedFraction: z.servedFraction, Verdict: z.verdict,
		Standalone:    z.standalone.verdict.State != InService,
		ServedLocally: z.verdict.State != InService && c.servedLocally(z),
		Override:      z.override, UnhealthyVotes: v.unhealthy, HealthyVotes: v.healthy,
		UnhealthyVoteZones: len(v.unhealthyVoterZones),
		UnhealthyVoters:    slices.Clone(v.unhealthyVoters), Watched: z.publication.watched, VerdictAge: c.now - z.verdictAt,
		Attempted: v.attempted, InTime: v.inTime, Unanswered: v.unanswered, Late: v.late,
	}
}
