package zonehealth

import "slices"

// peersAgree reports whether enough peers act on, or propose, a verdict that takes precedence over the one on which this
// proxy acts.
func (c *Controller) peersAgree(z *zone) bool { return c.agreedVerdict(z) != nil }

func (c *Controller) followPeers(z *zone) { c.adopt(z, *c.agreedVerdict(z), "following other proxies") }

// agreedVerdict returns the verdict with the highest precedence that either maxVerdictBackers peers act on (one peer if
// only one is reachable) or requiredVotes peers propose. It returns nil if that verdict does not take precedence over
// the one on which this proxy acts. The thresholds keep a single faulty proxy from changing the verdict of others.
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

// propose adopts a verdict if enough peers propose it or one of higher precedence. Otherwise it makes the verdict this
// proxy's proposal. If verdicts were adopted at once, one or two proxies that receive reports late would act differently
// from all others.
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

// adopt makes a verdict the one on which this proxy acts. It discards the standalone verdict of this proxy.
func (c *Controller) adopt(z *zone, verdict Verdict, reason string) {
	previous := z.verdict.State
	verdict.RetainedNodes = slices.Clone(verdict.RetainedNodes)
	z.verdict, z.verdictAt, z.confirmation = verdict, c.now, confirmation{}
	z.standalone.verdict = Verdict{}
	z.evidence.counts = attemptCounts{at: c.now} // only attempts under the new verdict are counted
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
