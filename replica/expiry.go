package replica

// expiryInterval is the time between two walks of the rows and members for what has expired.
const expiryInterval = Second / 5

func (s *Store) expiryDue() bool { return s.now >= s.nextExpiry }

// expire removes expired rows and members, finds who has departed, and has silent proxies probed.
func (s *Store) expire() {
	s.nextExpiry = s.now + expiryInterval
	s.rows.expire(s.now, s.members.forgetHeartbeat)
	s.members.removeIf(func(other *member) bool {
		departure := s.rows.departure(other.name)
		s.updateDeparted(other, departure)
		s.probeIfSilent(other)
		return s.memberExpired(other, departure)
	})
	s.confirmQuota()
}

// updateDeparted decides whether a member has departed. Its quota is taken over from then on, so that the leases which
// it granted have to have expired.
func (s *Store) updateDeparted(other *member, departure *storedRow) {
	if departure != nil && other.heartbeat == nil && other.incarnation == 0 {
		other.incarnation = departure.Epoch // no heartbeat of it was ever received
	}
	takeoverDelay := max(s.settings.TakeoverDelay, s.quota.leaseDuration())
	departed := departure != nil && departure.Epoch >= other.incarnation && !s.members.isSelf(other) &&
		!s.members.live(other, s.now) && s.now-departure.receivedAt >= takeoverDelay
	if departed == other.departed {
		return
	}
	other.departed = departed
	s.out.logf("proxy %s departed %v: %d of %d have departed",
		other.name, departed, s.members.departedCount(), s.members.fleetSize())
}

func (s *Store) probeIfSilent(other *member) {
	if !s.members.needsProbe(other, s.now) {
		return
	}
	other.probedAt = s.now
	s.out.add(Decision{Action: ActionProbe, Peer: other.name, Address: other.report.Address, Incarnation: other.incarnation})
}

// memberExpired reports whether a member counts no longer: its departure record has expired, or it was only ever heard
// of. The configured size of the fleet is kept with members that have been running.
func (s *Store) memberExpired(other *member, departure *storedRow) bool {
	if other.departed || departure != nil || other.heartbeat != nil || s.members.isSelf(other) {
		return false
	}
	wasRunning := other.incarnation > 0
	return !wasRunning || s.members.fleetSize() > s.settings.FleetSize
}
