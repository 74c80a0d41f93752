package zonehealth

import "slices"

// ZoneStatus is the status of a zone, for operators.
type ZoneStatus struct {
	Name                         string
	Nodes                        int
	OpenShare                    float64  // share of its keys that it serves, 0 to 1
	Verdict                      Verdict  // the verdict on which this proxy acts
	Standalone                   bool     // this proxy has evacuated it standalone, or is bringing it back
	ServedLocally                bool     // evacuated by the fleet, but this proxy is in it and gets answers there
	Override                     Override // of epoch 0: there is no override
	UnhealthyVotes, HealthyVotes int      // unhealthy and healthy votes
	UnhealthyVoteZones           int      // zones from which the unhealthy votes are
	UnhealthyVoters              []string
	Watched                      bool // there are unhealthy votes, a proposal, or a verdict that it is not in service
	VerdictAge                   Time // since the verdict

	// Numbers of proxies, of those that act on the same verdict: that attempted the zone, had most attempts answered in
	// time, a quarter or more unanswered, and too many answered late.
	Attempted, InTime, Unanswered, Late int
}

// Statuses returns the status of all zones, by name. The caller owns the slice.
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
		Name: z.name, Nodes: z.nodes, OpenShare: z.servedFraction, Verdict: z.verdict,
		Standalone:    z.standalone.verdict.State != InService,
		ServedLocally: z.verdict.State != InService && c.servedLocally(z),
		Override:      z.override, UnhealthyVotes: v.unhealthy, HealthyVotes: v.healthy, UnhealthyVoteZones: len(v.unhealthyVoterZones),
		UnhealthyVoters: slices.Clone(v.unhealthyVoters), Watched: z.publication.watched, VerdictAge: c.now - z.verdictAt,
		Attempted: v.attempted, InTime: v.inTime, Unanswered: v.unanswered, Late: v.late,
	}
}
