package replica

import (
	"math/rand/v2"
	"slices"
)

const (
	leaseHeartbeats = 4 // duration of a lease in heartbeat intervals

	maxLeases = 6 // maximum number of leases in a heartbeat

	// retainedFraction is the fraction of its base quota that a proxy never leases out.
	retainedFraction = 0.5

	// minLeaseFraction is the smallest lease to one proxy, as a fraction of the lender's base quota.
	minLeaseFraction = 0.02

	// minSpareFraction is the fraction of its base quota that must be spare before a proxy leases out any. A smaller
	// amount may be random variation of the demand.
	minSpareFraction = 0.25

	// minFleetDemand is the demand of the fleet, in requests per second, below which nothing is leased out.
	minFleetDemand = 1

	// leaseTolerance and grantTolerance allow for rounding errors where leases are compared with a limit:
	// leaseTolerance by the borrower, grantTolerance by the lender.
	leaseTolerance = 1e-9
	grantTolerance = 1e-12

	// minDivisor is the lower bound of divisors, which keeps quotients finite.
	minDivisor = 1e-9
)

// QuotaLease is a lease of part of the sender's quota to another proxy, the borrower. Both measure its duration of four
// heartbeat intervals on their own clocks: the borrower from the time at which it wrote the heartbeat with the sequence
// number of the lease, the lender from the later time at which it granted the lease. The lease has therefore expired at
// the borrower when the lender uses that part of its quota again.
type QuotaLease struct {
	Borrower          string  `msgpack:"t"` // name of the borrower
	Share             float64 `msgpack:"p"` // leased fraction of the fleet's limits, 0 to 1
	HeartbeatSequence int64   `msgpack:"c"` // sequence number of the borrower's latest heartbeat at the lender
}

// lease is a part of a quota that this proxy has leased out to, or leased in from, another proxy.
type lease struct {
	borrower  string
	share     float64
	expiresAt Time
}

// quota decides which share of the fleet's limits this proxy may use. The shares of all running proxies add up to one at
// most. This follows from the rules below, without a vote:
//
//   - Each proxy that is configured or was ever known has an even share, whether it is live or not.
//   - A silent proxy keeps its share, since it may still serve on the other side of a network partition. The other
//     proxies take over only the share of a departed proxy, less its quota floor, after the takeover delay. A proxy has
//     departed if connections to it are refused or it announced its departure.
//   - A proxy that starts uses no more than the quota floor until its quota is confirmed: all other proxies that have not
//     departed have acknowledged its incarnation and do not record it as departed. Departure records that they receive
//     later are about earlier incarnations. The same limit applies while it is catching up. A decrease of a share takes
//     effect at once.
//   - A proxy leases up to half of its share to proxies whose clients demand more. A lease expires without a message, at
//     the borrower no later than at the lender. Until then the lender does not use the leased part. While its leases
//     exceed its share, its heartbeats acknowledge no incarnation, so that no other proxy confirms its quota.
//   - A process that has announced its end uses no leases from others: its share changes no more while it still serves.
type quota struct {
	settings   *Settings
	members    *membership
	sync       *catchUp
	heartbeats *heartbeatLog
	random     *rand.Rand
	startedAt  Time
	demand     float64          // requests per second from this proxy's clients
	confirmed  bool             // whether all proxies that have not departed have acknowledged this incarnation
	departing  bool             // whether this process has announced its end
	share      float64          // last share that was returned to the caller in a decision
	leasedOut  []lease          // leases to other proxies; removed as they expire
	leasedIn   map[string]lease // leases from other proxies by lender; removed as they expire
	loggedBase float64          // base quota that was logged last
}

// floor returns the share of a proxy whose quota is not confirmed.
func (q *quota) floor() float64 { return q.settings.QuotaFloor / float64(q.members.fleetSize()) }

// atFloor reports whether the quota must stay at its floor.
func (q *quota) atFloor() bool { return !q.confirmed || q.sync.active }

// base returns the base quota of this proxy, which is its current share before leases.
func (q *quota) base() float64 {
	if q.atFloor() {
		return q.floor()
	}
	departed := float64(q.members.departedCount())
	return (1 - departed*q.floor()) / (float64(q.members.fleetSize()) - departed)
}

// entitlement returns the share that this proxy may use now, leases included. It removes expired leases.
func (q *quota) entitlement(now Time) float64 {
	if q.atFloor() {
		return q.base()
	}
	share := max(q.base()-q.leasedOutShare(now), 0)
	if q.departing {
		return share
	}
	for _, lender := range q.members.all { // in a fixed order, since the rounding of the sum depends on it
		leased, ok := q.leasedIn[lender.name]
		if !ok {
			continue
		}
		if now < leased.expiresAt {
			share += leased.share
		} else {
			delete(q.leasedIn, lender.name)
		}
	}
	return share
}

// leaseDuration returns the duration of a lease. All proxies with a confirmed quota compute the same duration, since they
// have the same members.
func (q *quota) leaseDuration() Time {
	return leaseHeartbeats * (minHeartbeatInterval + Time(q.members.fleetSize())*heartbeatSpacing)
}

// confirm updates whether the quota is confirmed, and returns true if it has just become confirmed. In a fleet of more
// than one proxy this takes at least until the leases granted by an earlier process of this name have expired.
func (q *quota) confirm(now Time) bool {
	q.members.viewHash() // records the view by which other proxies acknowledge this incarnation
	if q.confirmed || q.sync.active {
		return false
	}
	if now-q.startedAt < q.leaseDuration() && q.members.fleetSize() > 1 {
		return false
	}
	q.confirmed = q.members.allAcknowledged()
	return q.confirmed
}

// overcommitted reports whether this proxy has leased out more than its base quota.
func (q *quota) overcommitted(now Time) bool { return q.base() < q.leasedOutShare(now) }

// leasedOutShare removes expired leases and returns the sum of the others. Of several leases to one borrower only the
// largest counts, since a borrower uses only one lease of a lender at a time.
func (q *quota) leasedOutShare(now Time) float64 {
	q.leasedOut = slices.DeleteFunc(q.leasedOut, func(l lease) bool { return now >= l.expiresAt })
	sum := 0.0
	for i := range q.leasedOut {
		if q.largestToBorrower(i) {
			sum += q.leasedOut[i].share
		}
	}
	return sum
}

// largestToBorrower reports whether a lease is the largest one to its borrower. Of several equal leases it is true for
// the first one.
func (q *quota) largestToBorrower(index int) bool {
	candidate := q.leasedOut[index]
	for i, other := range q.leasedOut {
		if other.borrower != candidate.borrower {
			continue
		}
		if other.share > candidate.share || other.share == candidate.share && i < index {
			return false
		}
	}
	return true
}

// grantLeases leases out the part of the quota that this proxy's clients do not need. The proxy keeps a share equal to its
// fraction of the fleet's demand, and at least half of its quota. The rest is leased to the other proxies in proportion
// to their deficits.
func (q *quota) grantLeases(now Time) []QuotaLease {
	if q.atFloor() {
		return nil
	}
	total := q.fleetDemand(now)
	base := q.base()
	spare := base - max(retainedFraction*base, q.demand/max(total, minDivisor))
	if spare < minSpareFraction*base || total < minFleetDemand {
		return nil
	}
	demands := fleetDemands{quota: q, base: base, total: total, now: now}
	totalDeficit := 0.0
	for _, other := range q.members.all {
		totalDeficit += demands.deficit(other)
	}
	spare = min(spare, totalDeficit) // the offers of all lenders may exceed the total deficit, which is harmless
	var granted []QuotaLease
	first := q.random.IntN(len(q.members.all))
	for i := range q.members.all {
		borrower := q.members.all[(first+i)%len(q.members.all)]
		share := spare * demands.deficit(borrower) / max(totalDeficit, minDivisor)
		if share >= minLeaseFraction*base && len(granted) < maxLeases {
			granted = append(granted, QuotaLease{
				Borrower: borrower.name, Share: share, HeartbeatSequence: borrower.heartbeat.Sequence,
			})
			q.leasedOut = append(q.leasedOut, lease{borrower: borrower.name, share: share, expiresAt: now + q.leaseDuration()})
		}
	}
	return q.withdrawExcess(granted, base, now)
}

// withdrawExcess withdraws the last of the new leases until the new and earlier leases together are within the limit.
func (q *quota) withdrawExcess(granted []QuotaLease, base float64, now Time) []QuotaLease {
	limit := base*(1-retainedFraction) + grantTolerance
	for q.leasedOutShare(now) > limit && len(granted) > 0 {
		granted = granted[:len(granted)-1]
		q.leasedOut = q.leasedOut[:len(q.leasedOut)-1]
	}
	return granted
}

// fleetDemand returns the demand of all live proxies in requests per second.
func (q *quota) fleetDemand(now Time) float64 {
	sum := q.demand
	for _, other := range q.members.all {
		if !q.members.isSelf(other) && q.members.live(other, now) {
			sum += other.report.Demand
		}
	}
	return sum
}

// fleetDemands holds the values from which the deficits of the other proxies are computed.
type fleetDemands struct {
	quota *quota
	base  float64 // base quota of this proxy
	total float64 // demand of the fleet in requests per second
	now   Time
}

// deficit returns by how much another proxy's fraction of the fleet's demand exceeds its base quota. It is zero for a
// proxy whose quota is not confirmed, recognized by a base quota below half of this proxy's, since it uses no leases.
func (d *fleetDemands) deficit(other *member) float64 {
	members := d.quota.members
	if members.isSelf(other) || !members.live(other, d.now) || other.report.BaseQuota < d.base/2 {
		return 0
	}
	return max(other.report.Demand/d.total-other.report.BaseQuota, 0)
}

// acceptLease accepts the lease to this proxy in the latest heartbeat of another proxy, if there is one. The lease
// duration starts at the time at which this proxy wrote the heartbeat with the sequence number in the lease. A heartbeat
// without a lease revokes no earlier one: a lease lasts until it expires.
func (q *quota) acceptLease(lender *member) {
	for _, offer := range lender.report.Leases {
		if offer.Borrower != q.settings.Name {
			continue
		}
		withinBounds := offer.Share > 0 && offer.Share <= lender.report.BaseQuota/2+leaseTolerance
		heartbeat, found := q.heartbeats.find(offer.HeartbeatSequence, q.settings.Incarnation)
		if found && withinBounds {
			q.leasedIn[lender.name] = lease{
				borrower: offer.Borrower, share: offer.Share, expiresAt: heartbeat.at + q.leaseDuration(),
			}
			return
		}
	}
}

// confirmQuota lets this proxy use its full share once all other proxies have acknowledged its incarnation.
func (s *Store) confirmQuota() {
	if s.quota.confirm(s.now) {
		s.out.logf("quota confirmed: all %d proxies have acknowledged this one, %d have departed",
			s.members.fleetSize(), s.members.departedCount())
	}
}

func (s *Store) shareChanged() bool { return s.quota.share != s.quota.entitlement(s.now) }

// updateShare returns the new share to the caller in a decision. It logs the share only if the base quota has changed.
func (s *Store) updateShare() {
	previous := s.quota.share
	s.quota.share = s.quota.entitlement(s.now)
	s.out.add(Decision{Action: ActionSetQuotaShare, Share: s.quota.share})
	base := s.quota.base()
	if base == s.quota.loggedBase {
		return
	}
	s.out.logf("quota share %.4f, was %.4f: %d proxies, %d departed, confirmed %v",
		s.quota.share, previous, s.members.fleetSize(), s.members.departedCount(), s.quota.confirmed)
	s.quota.loggedBase = base
}
