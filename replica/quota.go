package replica

import (
	"math/rand/v2"
	"slices"
)

const (
	leaseHeartbeats = 4 // length of a lease in heartbeat intervals

	maxLeases = 6 // in a heartbeat

	// retainedFraction is the part of its base quota that a proxy never leases out.
	retainedFraction = 0.5

	// minLeaseFraction is the smallest lease to one proxy, as a part of the base quota.
	minLeaseFraction = 0.02

	// minSpareFraction is the part of its base quota that has to be spare before any is leased out. Less may be chance.
	minSpareFraction = 0.25

	// minFleetDemand is the demand of the fleet, in requests a second, below which nothing is leased out.
	minFleetDemand = 1

	// leaseTolerance and grantTolerance allow for rounding where the sizes of leases are checked against a share.
	leaseTolerance = 1e-9
	grantTolerance = 1e-12

	// minDivisor keeps quotients of demands finite.
	minDivisor = 1e-9
)

// QuotaLease is a lease of a part of the sender's quota to another proxy. It lasts for four heartbeat intervals from the time
// at which the borrower wrote the heartbeat that the lease names. Lender and borrower each count from a time on their
// own clock, and the borrower's is earlier: the lease has ended there when the lender uses that part again.
type QuotaLease struct {
	Borrower          string  `msgpack:"t"` // the borrower
	Share             float64 `msgpack:"p"` // of the fleet's limits, 0 to 1
	HeartbeatSequence int64   `msgpack:"c"` // sequence number of the borrower's heartbeat
}

// lease is a part of a quota that is leased out or leased in.
type lease struct {
	borrower  string
	share     float64
	expiresAt Time
}

// quota decides which part of the fleet's limits this proxy may use. The parts of all running proxies sum up to one at
// most, by these rules and without a vote:
//
//   - Each proxy that is configured or was ever known counts, live or not, and has an even share.
//   - A silent proxy keeps its share, since it may still serve on the other side of a network partition. Only the share
//     of a departed proxy (connections to it are refused, or it announced its end) is taken over by the others, after
//     the takeover delay, and all but the quota floor of it.
//   - A proxy that starts uses no more than that floor until its quota is confirmed: all others that have not departed
//     have acknowledged its incarnation and do not take that for departed; departure records that reach them later are
//     about earlier incarnations. The same holds while it is catching up. A share falls at once.
//   - Up to half of its share is leased to the proxies whose clients demand more. A lease expires by itself, at the
//     borrower no later than at the lender. Until then the lender does without it, and tells so to whoever waits for
//     the confirmation of a quota.
type quota struct {
	settings   *Settings
	members    *membership
	sync       *catchUp
	heartbeats *heartbeatLog
	random     *rand.Rand
	startedAt  Time
	demand     float64          // requests a second from this proxy's clients
	confirmed  bool             // all that have not departed have acknowledged this incarnation
	share      float64          // last one that the caller was told
	leasedOut  []lease          // removed as they expire
	leasedIn   map[string]lease // by lender; removed as they expire
	loggedBase float64
}

// floor is the share of a proxy that nobody has acknowledged.
func (q *quota) floor() float64 { return q.settings.QuotaFloor / float64(q.members.fleetSize()) }

// atFloor reports whether the quota has to stay at its floor.
func (q *quota) atFloor() bool { return !q.confirmed || q.sync.active }

// base is the share that this proxy has now, before leases.
func (q *quota) base() float64 {
	if q.atFloor() {
		return q.floor()
	}
	departed := float64(q.members.departedCount())
	return (1 - departed*q.floor()) / (float64(q.members.fleetSize()) - departed)
}

// entitlement is the share that this proxy may use now, with leases.
func (q *quota) entitlement(now Time) float64 {
	if q.atFloor() {
		return q.base()
	}
	share := max(q.base()-q.leasedOutShare(now), 0)
	for _, lender := range q.members.all { // in order, or sums would differ in their last digits
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

// leaseDuration is the length of a lease. All whose quota is confirmed agree on it, since they know the same proxies.
func (q *quota) leaseDuration() Time {
	return leaseHeartbeats * (minHeartbeatInterval + Time(q.members.fleetSize())*heartbeatSpacing)
}

// confirm looks whether the quota is confirmed now. In a fleet of more than one proxy it is not before the leases of an
// earlier process of this name have expired. It returns true if the quota was not confirmed before.
func (q *quota) confirm(now Time) bool {
	q.members.viewHash() // remembers the view, by which others acknowledge this incarnation
	if q.confirmed || q.sync.active {
		return false
	}
	if now-q.startedAt < q.leaseDuration() && q.members.fleetSize() > 1 {
		return false
	}
	q.confirmed = q.members.allAcknowledged()
	return q.confirmed
}

// overcommitted reports whether more is leased out than this proxy has.
func (q *quota) overcommitted(now Time) bool { return q.base() < q.leasedOutShare(now) }

// leasedOutShare drops expired leases and returns the sum of the others. Of several leases to one proxy that proxy uses
// one only, the largest at most.
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

// largestToBorrower reports whether a lease is the largest to its borrower, the first such one if several are equal.
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

// grantLeases leases out what this proxy's clients do not need. The proxy keeps the part of its quota that its demand
// is of the fleet's, and half of the quota in any case. The rest goes to the others by their deficits.
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
	spare = min(spare, totalDeficit) // all lenders together may offer more than is lacking, which does no harm
	var granted []QuotaLease
	first := q.random.IntN(len(q.members.all))
	for i := range q.members.all {
		borrower := q.members.all[(first+i)%len(q.members.all)]
		share := spare * demands.deficit(borrower) / max(totalDeficit, minDivisor)
		if share >= minLeaseFraction*base && len(granted) < maxLeases {
			granted = append(granted, QuotaLease{Borrower: borrower.name, Share: share, HeartbeatSequence: borrower.heartbeat.Sequence})
			q.leasedOut = append(q.leasedOut, lease{borrower: borrower.name, share: share, expiresAt: now + q.leaseDuration()})
		}
	}
	return q.withdrawExcess(granted, base, now)
}

// withdrawExcess takes back the last of the new leases, as many as are too much together with the earlier ones.
func (q *quota) withdrawExcess(granted []QuotaLease, base float64, now Time) []QuotaLease {
	limit := base*(1-retainedFraction) + grantTolerance
	for q.leasedOutShare(now) > limit && len(granted) > 0 {
		granted = granted[:len(granted)-1]
		q.leasedOut = q.leasedOut[:len(q.leasedOut)-1]
	}
	return granted
}

// fleetDemand is the demand of all live proxies in requests a second.
func (q *quota) fleetDemand(now Time) float64 {
	sum := q.demand
	for _, other := range q.members.all {
		if !q.members.isSelf(other) && q.members.live(other, now) {
			sum += other.report.Demand
		}
	}
	return sum
}

// fleetDemands is what the deficits of the other proxies are measured by.
type fleetDemands struct {
	quota *quota
	base  float64 // quota of this proxy before leases
	total float64 // requests a second
	now   Time
}

// deficit returns the part of the fleet's demand that another proxy has beyond its base quota. It is zero for a proxy
// whose quota is not confirmed, since that uses no leases.
func (d *fleetDemands) deficit(other *member) float64 {
	members := d.quota.members
	if members.isSelf(other) || !members.live(other, d.now) || other.report.BaseQuota < d.base/2 {
		return 0
	}
	return max(other.report.Demand/d.total-other.report.BaseQuota, 0)
}

// acceptLease takes the lease to this proxy from the latest heartbeat of another, if there is one. It lasts until the
// lease's length has passed since this proxy wrote the heartbeat that the lease names. A heartbeat without a lease
// revokes none: a lease lasts until it expires.
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

// confirmQuota lets this proxy use its full share once all others have acknowledged its incarnation.
func (s *Store) confirmQuota() {
	if s.quota.confirm(s.now) {
		s.out.logf("quota confirmed: all %d proxies have acknowledged this one, %d have departed",
			s.members.fleetSize(), s.members.departedCount())
	}
}

func (s *Store) shareChanged() bool { return s.quota.share != s.quota.entitlement(s.now) }

// updateShare tells the caller the new share. It is logged only when the share before leases has changed.
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
