package replica

// expiryInterval is the time between two scans of the rows and members for expired ones.
const expiryInterval = Second / 5

func (s *Store) expiryDue() bool { return s.now >= s.nextExpiry }

// expire removes expired rows and members, updates which members have departed, requests probes of silent proxies, and
// checks whether the quota is confirmed.
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

// updateDeparted decides whether a member has departed. The other proxies then take over its quota, so this happens only
// after the takeover delay and after all leases that the member granted have expired.
func (s *Store) updateDeparted(other *member, departure *storedRow) {
	if departure != nil && other.heartbeat == nil && other.incarnation == 0 {
		other.incarnation = departure.Epoch // no heartbeat of this member was ever received
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

// probeIfSilent requests a connect probe of a member if one is due.
func (s *Store) probeIfSilent(other *member) {
	if !s.members.needsProbe(other, s.now) {
		return
	}
	other.probedAt = s.now
	s.out.add(Decision{Action: ActionProbe, Peer: other.name, Address: other.report.Address, Incarnation: other.incarnation})
}

// memberExpired reports whether a member must be removed: neither a heartbeat nor a departure record of it is stored, and
// either it was never running or the fleet is larger than configured. Members that have been running are kept up to the
// configured size of the fleet.
func (s *Store) memberExpired(other *member, departure *storedRow) bool {
	if other.departed || departure != nil || other.heartbeat != nil || s.members.isSelf(other) {
		return false
	}
	wasRunning := other.incarnation > 0
	return !wasRunning || s.members.fleetSize() > s.settings.FleetSize
}
