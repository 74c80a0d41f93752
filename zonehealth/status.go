package zonehealth

import "slices"

// Shown is the status of a zone, for operators.
type Shown struct {
	Name         string
	Nodes        int
	Open         float64 // share of its keys that it serves, 0 to 1
	Stand        Stand   // the verdict on which this proxy acts
	Alone        bool    // this proxy has evacuated it standalone, or is bringing it back
	Own          bool    // evacuated by the fleet, but this proxy is in it and gets answers there
	Order        Order   // of epoch 0: there is no override
	Against, For int     // unhealthy and healthy votes
	AgainstZones int     // zones from which the unhealthy votes are
	By           []string
	Watched      bool // there are unhealthy votes, a proposal, or a verdict that it is not in service
	Held         Time // since the verdict

	// Numbers of proxies, of those that act on the same verdict: that attempted the zone, had most attempts answered in
	// time, a quarter or more unanswered, and too many answered late.
	Tried, Fine, Lost, Late int
}

// Shown returns the status of all zones, by name. The caller owns the slice.
func (c *Instance) Shown(now Time) []Shown {
	c.now = max(now, c.now)
	statuses := make([]Shown, 0, len(c.zones))
	for _, z := range c.zones {
		statuses = append(statuses, c.status(z))
	}
	return statuses
}

func (c *Instance) status(z *zone) Shown {
	v := &z.votes
	return Shown{
		Name: z.name, Nodes: z.nodes, Open: z.openShare, Stand: z.verdict,
		Alone: z.standalone.verdict.State != In,
		Own:   z.verdict.State != In && c.servedLocally(z),
		Order: z.override, Against: v.unhealthy, For: v.healthy, AgainstZones: len(v.unhealthyVoterZones),
		By: slices.Clone(v.unhealthyVoters), Watched: z.publication.watched, Held: c.now - z.verdictAt,
		Tried: v.attempted, Fine: v.inTime, Lost: v.unanswered, Late: v.late,
	}
}
