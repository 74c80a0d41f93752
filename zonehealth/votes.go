package zonehealth

import (
	"iter"
	"slices"
)

const (
	minCountedAttempts         = 0.4 // minimum decayed count of attempts for a proxy to be counted
	maxOriginLateFraction      = 0.3 // fraction of late origin fetches above which the origin counts as late for a proxy
	minUnhealthyPerHealthyVote = 3   // unhealthy votes required for each healthy vote
)

// voteCount summarizes the reports on a zone. It counts proxies rather than their attempts, so that a proxy that reports
// too many attempts has no more weight than any other.
type voteCount struct {
	unhealthy, healthy  int
	lastInTimeAt        Time     // time of the latest response in time that any proxy received
	unhealthyVoters     []string // names of the proxies with an unhealthy vote
	unhealthyVoterZones []string // their zones
	unhealthyNodes      []uint32 // hashes of node names
	healthyNodes        []uint32 // hashes of node names, without those in unhealthyNodes; sorted

	// Numbers of proxies, among those that act on the same verdict as this proxy.
	attempted  int // with attempts in the zone under this verdict
	inTime     int // with a majority of their attempts answered in time
	unanswered int // with more than a quarter of their attempts unanswered
	late       int // with more than a third as many late responses as responses in time
	originLate int // for which the origin is late
}

// reset sets all counts to zero and keeps the allocated slices. The parameter is the new value of lastInTimeAt.
func (v *voteCount) reset(lastInTimeAt Time) {
	*v = voteCount{
		lastInTimeAt: lastInTimeAt, unhealthyVoters: v.unhealthyVoters[:0], unhealthyVoterZones: v.unhealthyVoterZones[:0],
		unhealthyNodes: v.unhealthyNodes[:0], healthyNodes: v.healthyNodes[:0],
	}
}

// addAttempts adds the attempt counts of a report under the verdict on which this proxy acts.
func (v *voteCount) addAttempts(report *Report) {
	inTime, late, unanswered := report.InTime, report.AnsweredLate, report.Unanswered
	v.attempted += countIf(inTime+late+unanswered >= minCountedAttempts)
	v.inTime += countIf(inTime >= minCountedAttempts && inTime > late+unanswered)
	v.unanswered += countIf(unanswered >= minCountedAttempts && unanswered > (inTime+late)/3)
	v.late += countIf(late >= minCountedAttempts && late > inTime/3)
	v.originLate += countIf(report.OriginLateFraction > maxOriginLateFraction)
}

// addVote adds the vote of a report, which was sent by the named proxy in proxyZone.
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

// toleratedDissent returns the number of proxies with attempts in the zone whose deviating results are ignored: a quarter
// of them, at least one.
func (v *voteCount) toleratedDissent() int { return max(1, v.attempted/4) }

// countVotes recounts the fresh reports of reachable peers and of this proxy. It drops expired reports.
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

// countReport adds the report of a proxy in proxyZone, written at the given time. The vote of a proxy in the zone itself
// is not counted, because the proxy may be cut off together with the nodes of the zone.
func (c *Controller) countReport(z *zone, proxy, proxyZone string, at Time, report *Report) {
	if report.Verdict.compare(&z.verdict) == 0 {
		z.votes.addAttempts(report)
	}
	if proxyZone == z.name {
		return
	}
	if proxy != c.settings.ProxyName && report.InTime > report.AnsweredLate {
		// The age of a report does not include its transmission time.
		z.votes.lastInTimeAt = max(z.votes.lastInTimeAt, at-report.LastResponseAge-maxGossipDelay)
	}
	z.votes.addVote(proxy, proxyZone, report)
}

// reachableReports iterates over the reports of reachable peers, sorted by proxy name.
func (c *Controller) reachableReports(z *zone) iter.Seq[*receivedReport] {
	return func(yield func(*receivedReport) bool) {
		for _, r := range z.reports {
			if _, reachable := c.fleet.reachable[r.proxy]; reachable && !yield(r) {
				return
			}
		}
	}
}

// evidenceSum is the evidence against one zone or a whole region, which is compared with the thresholds of a suspicion.
type evidenceSum struct {
	voters         int // proxies with an unhealthy vote
	voterZones     int // number of zones of these proxies
	unhealthyNodes int
	nodes          int
}

// suffices reports whether the evidence meets the thresholds: votes from enough of the proxies in the quorum view, from
// at least two zones if these proxies are in more than one, on a majority of the nodes.
func (c *Controller) suffices(sum evidenceSum, view quorumView) bool {
	return sum.voters >= c.requiredVotes(view.reachable) && sum.voterZones >= min(2, view.zones) &&
		sum.unhealthyNodes >= min(sum.nodes/2+1, maxCoveredNodes)
}

// lossSuspected reports whether there are enough unhealthy votes on a zone, either for the zone alone or for its region.
func (c *Controller) lossSuspected(z *zone) bool {
	v := &z.votes
	if !c.hasQuorum(z) || z.nodes == 0 || v.unhealthy == 0 || v.unhealthy < minUnhealthyPerHealthyVote*v.healthy {
		return false
	}
	sum := evidenceSum{v.unhealthy, len(v.unhealthyVoterZones), len(v.unhealthyNodes), z.nodes}
	return c.suffices(sum, z.outsideZone) || z.region != nil && c.regionLossSuspected(z)
}

// regionLossSuspected reports whether there are enough unhealthy votes on all zones of a zone's region together. Each of
// these zones must be evacuated, or have unhealthy and no healthy votes.
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

// anotherZoneResponded reports whether another zone has responded in time since the given time. If not, the fault may be
// in this proxy or affect all zones: when all zones slow down at once, one of them appears silent slightly earlier than
// the others.
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
