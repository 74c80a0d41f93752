package zonehealth

import (
	"iter"
	"slices"
)

const (
	minCountedAttempts         = 0.4 // decayed count from which on a proxy counts as one that has attempted a zone
	maxOriginLateFraction      = 0.3 // of late origin fetches, above which the origin counts as late for a proxy
	minUnhealthyPerHealthyVote = 3   // unhealthy votes that it takes for each healthy vote
)

// voteCount sums up the reports on a zone. Proxies are counted and not the attempts that they report, so that a proxy
// that exaggerates weighs no more than one.
type voteCount struct {
	unhealthy, healthy  int
	lastInTimeAt        Time     // the latest answer in time that any proxy received
	unhealthyVoters     []string // names
	unhealthyVoterZones []string
	unhealthyNodes      []uint32
	healthyNodes        []uint32 // without those that are unhealthy to others; sorted

	// Of the proxies that act on the same verdict:
	attempted  int // that attempted the zone under it
	inTime     int // with a majority of their attempts answered in time
	unanswered int // with a quarter or more of their attempts unanswered
	late       int // with more late answers than a third of those in time
	originLate int // with late origin fetches
}

// reset empties the count. It keeps the memory, and the latest answer in time.
func (v *voteCount) reset(lastInTimeAt Time) {
	*v = voteCount{
		lastInTimeAt: lastInTimeAt, unhealthyVoters: v.unhealthyVoters[:0], unhealthyVoterZones: v.unhealthyVoterZones[:0],
		unhealthyNodes: v.unhealthyNodes[:0], healthyNodes: v.healthyNodes[:0],
	}
}

// addAttempts counts a report's attempts under the verdict on which this proxy acts.
func (v *voteCount) addAttempts(report *Report) {
	inTime, late, unanswered := report.InTime, report.AnsweredLate, report.Unanswered
	v.attempted += countIf(inTime+late+unanswered >= minCountedAttempts)
	v.inTime += countIf(inTime >= minCountedAttempts && inTime > late+unanswered)
	v.unanswered += countIf(unanswered >= minCountedAttempts && unanswered > (inTime+late)/3)
	v.late += countIf(late >= minCountedAttempts && late > inTime/3)
	v.originLate += countIf(report.OriginLateFraction > maxOriginLateFraction)
}

// addVote counts the vote of a proxy in a zone.
func (v *voteCount) addVote(proxy, proxyZone string, report *Report) {
	switch report.Vote {
	case VoteHealthy:
		v.healthy++
		v.healthyNodes = union(v.healthyNodes, report.HealthyNodes)
	case VoteUnhealthy:
		v.unhealthy++
		v.unhealthyVoters = append(v.unhealthyVoters, proxy)
		v.unhealthyNodes = union(v.unhealthyNodes, report.UnhealthyNodes)
		v.unhealthyVoterZones = appendMissing(v.unhealthyVoterZones, proxyZone)
	}
}

// toleratedDissent is how many of the proxies that attempted the zone may find something else than the others.
func (v *voteCount) toleratedDissent() int { return max(1, v.attempted/4) }

// countVotes sums up the fresh reports of reachable peers and of this proxy. It drops expired reports.
func (c *Controller) countVotes(z *zone) {
	z.votes.reset(z.evidence.lastInTimeAt)
	z.reports = slices.DeleteFunc(z.reports, func(r *receivedReport) bool { return r.expired(c.now) })
	for r := range c.reachableReports(z) {
		if r.fresh(c.now) {
			c.countReport(z, r.proxy, c.fleet.reachable[r.proxy], r.at, &r.Report)
		}
	}
	z.publication.current = c.ownReport(z)
	c.countReport(z, c.settings.ProxyName, c.settings.Zone, c.now, &z.publication.current)
	z.votes.healthyNodes = slices.DeleteFunc(z.votes.healthyNodes, func(node uint32) bool {
		return slices.Contains(z.votes.unhealthyNodes, node)
	})
	slices.Sort(z.votes.healthyNodes)
}

// countReport counts the report of a proxy, written at an instant. A proxy in the zone itself has no vote: it may be
// cut off together with the zone's nodes.
func (c *Controller) countReport(z *zone, proxy, proxyZone string, at Time, report *Report) {
	if report.Verdict.compare(&z.verdict) == 0 {
		z.votes.addAttempts(report)
	}
	if proxyZone == z.name {
		return
	}
	if proxy != c.settings.ProxyName && report.InTime > report.AnsweredLate {
		// The age of a report does not count the time on the way.
		z.votes.lastInTimeAt = max(z.votes.lastInTimeAt, at-report.LastResponseAge-maxGossipDelay)
	}
	z.votes.addVote(proxy, proxyZone, report)
}

// reachableReports are the reports of reachable peers, by name of the proxy.
func (c *Controller) reachableReports(z *zone) iter.Seq[*receivedReport] {
	return func(yield func(*receivedReport) bool) {
		for _, r := range z.reports {
			if _, reachable := c.fleet.reachable[r.proxy]; reachable && !yield(r) {
				return
			}
		}
	}
}

// evidenceSum is what is compared with the thresholds of a conviction, of one zone or of a whole region.
type evidenceSum struct {
	voters         int
	voterZones     int
	unhealthyNodes int
	nodes          int
}

// suffices reports whether evidence from the proxies of a quorum view convicts: from enough proxies, from two zones
// where the proxies are in two, on a majority of the nodes.
func (c *Controller) suffices(sum evidenceSum, view quorumView) bool {
	return sum.voters >= c.requiredVotes(view.reachable) && sum.voterZones >= min(2, view.zones) &&
		sum.unhealthyNodes >= min(sum.nodes/2+1, maxCoveredNodes)
}

// lossSuspected reports whether there are enough unhealthy votes on a zone, by itself or together with its region.
func (c *Controller) lossSuspected(z *zone) bool {
	v := &z.votes
	if !c.hasQuorum(z) || z.nodes == 0 || v.unhealthy == 0 || v.unhealthy < minUnhealthyPerHealthyVote*v.healthy {
		return false
	}
	sum := evidenceSum{v.unhealthy, len(v.unhealthyVoterZones), len(v.unhealthyNodes), z.nodes}
	return c.suffices(sum, z.outsideZone) || z.region != nil && c.regionLossSuspected(z)
}

// regionLossSuspected counts the unhealthy votes on all zones of a zone's region together, provided that each of the
// zones is evacuated or has unhealthy votes and no healthy one.
func (c *Controller) regionLossSuspected(z *zone) bool {
	voters := map[string]bool{}
	var voterZones []string
	var sum evidenceSum
	for _, other := range c.zones {
		if other.region != z.region || other.nodes == 0 {
			continue
		}
		v := &other.votes
		if other.verdict.State != Evacuated && (v.unhealthy == 0 || v.healthy > 0) {
			return false
		}
		for _, name := range v.unhealthyVoters {
			voters[name] = true
		}
		for _, name := range v.unhealthyVoterZones {
			if !slices.Contains(z.region.Zones, name) {
				voterZones = appendMissing(voterZones, name)
			}
		}
		sum.unhealthyNodes += len(v.unhealthyNodes)
		sum.nodes += other.nodes
	}
	sum.voters, sum.voterZones = len(voters), len(voterZones)
	return c.suffices(sum, z.outsideRegion)
}

// anotherZoneResponded reports whether another zone has answered in time since an instant, so that the fault is not this
// proxy's or everybody's: where all zones slow down at once, one seems silent a little before the others do.
func (c *Controller) anotherZoneResponded(z *zone, since Time) bool {
	return slices.ContainsFunc(c.zones, func(other *zone) bool {
		return other != z && other.nodes > 0 && other.verdict.State < PartlyEvacuated && other.votes.lastInTimeAt > since
	})
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
