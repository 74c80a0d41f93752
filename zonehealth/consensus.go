package zonehealth

import "slices"

// peersAgree reports whether enough peers act on, or propose, a verdict that takes precedence over this proxy's.
func (c *Controller) peersAgree(z *zone) bool { return c.agreedVerdict(z) != nil }

func (c *Controller) followPeers(z *zone) { c.adopt(z, *c.agreedVerdict(z), "following other proxies") }

// agreedVerdict returns the verdict of the highest precedence that maxVerdictBackers peers act on (one, where only
// one is reachable) or requiredVotes peers propose, nil if it does not take precedence over this proxy's. One proxy
// that is faulty moves no other.
func (c *Controller) agreedVerdict(z *zone) *Verdict {
	adopted, latest := c.adoptedVerdicts[:0], c.latestVerdicts[:0]
	for r := range c.reachableReports(z) {
		adopted, latest = append(adopted, &r.Verdict), append(latest, r.latestVerdict())
	}
	c.adoptedVerdicts, c.latestVerdicts = adopted, latest
	descending := func(a, b *Verdict) int { return b.compare(a) }
	slices.SortFunc(adopted, descending)
	slices.SortFunc(latest, descending)
	var agreed *Verdict
	if n := c.fleet.limitToPeers(maxVerdictBackers); n > 0 && len(adopted) >= n {
		agreed = adopted[n-1]
	}
	if n := c.requiredVotes(z.outsideZone.reachable); len(latest) >= n && latest[n-1].compare(agreed) > 0 {
		agreed = latest[n-1]
	}
	if agreed == nil || agreed.compare(&z.verdict) <= 0 || agreed.differsOnlyInFlaps(&z.verdict) {
		return nil
	}
	return agreed
}

// propose adopts a verdict if enough peers propose it or a later one, and else makes it this proxy's proposal.
// Without that, one or two proxies that reports reach late would act apart from all others.
func (c *Controller) propose(z *zone, verdict Verdict, reason string) {
	backers := 1
	for r := range c.reachableReports(z) {
		backers += countIf(r.latestVerdict().comparePrecedence(&verdict) >= 0)
	}
	if backers >= min(c.requiredVotes(z.outsideZone.reachable), len(c.fleet.reachable)) {
		c.adopt(z, verdict, reason)
		return
	}
	z.proposal = &verdict
}

// adopt makes a verdict the one on which this proxy acts. It replaces what this proxy found standalone.
func (c *Controller) adopt(z *zone, verdict Verdict, reason string) {
	previous := z.verdict.State
	verdict.RetainedNodes = slices.Clone(verdict.RetainedNodes)
	z.verdict, z.verdictAt, z.confirmation = verdict, c.now, confirmation{}
	z.standalone.verdict = Verdict{}
	z.evidence.counts = attemptCounts{at: c.now} // what is counted from now on is about this verdict
	if verdict.State >= PartlyEvacuated {
		z.evacuatedAt = c.now
	}
	v := &z.votes
	c.log("zone %s: %v (epoch %d, step %d, flaps %d) from %v, %s: %d unhealthy votes from %d zones, %d healthy votes; "+
		"of %d proxies with attempts %d in time, %d unanswered, %d late; %.0f in flight, capacity %.0f",
		z.name, verdict.State, verdict.Epoch, verdict.Step, verdict.Flaps, previous, reason,
		v.unhealthy, len(v.unhealthyVoterZones), v.healthy, v.attempted, v.inTime, v.unanswered, v.late,
		c.load.inFlight, c.load.capacity)
}
