package replica

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	maxMembers = 4096 // maximum number of members

	// departureTTL is the time to live of a departure record. Until it expires the proxy counts as a member of the fleet.
	departureTTL = 1800 * Second

	// missedHeartbeats is the number of heartbeat intervals after which a silent proxy is probed. For a proxy with a
	// successor, which has to start first, the number is missedWithSuccessor.
	missedHeartbeats    = 2
	missedWithSuccessor = 6

	// probeInterval is the time between two connect probes of one silent proxy.
	probeInterval = Second
)

// MemberState is the state of a proxy, as the admin API shows it.
type MemberState string

const (
	// MemberLive is a proxy whose heartbeats arrive.
	MemberLive MemberState = "here"
	// MemberDeparted is a proxy whose process is known to have ended.
	MemberDeparted MemberState = "gone"
	// MemberSilent is a proxy without recent heartbeats, whose process is not known to have ended.
	MemberSilent MemberState = "silent"
	// MemberUnknown is a proxy of which there is neither a heartbeat nor a departure record yet.
	MemberUnknown MemberState = "unknown"
)

// Member describes a proxy to operators and to other packages.
type Member struct {
	Name         string
	Incarnation  int64
	State        MemberState
	HeartbeatAge Time // time since its latest heartbeat was written
	Heartbeat
}

// member is the state that this proxy records about a proxy of the fleet, itself included.
type member struct {
	name         string
	incarnation  int64
	heartbeat    *storedRow // its latest heartbeat; nil if none is stored
	report       Heartbeat  // the body of its latest heartbeat
	departed     bool       // its latest incarnation has ended, and the takeover delay has passed
	acknowledged bool       // its view contains the incarnation of this proxy, not marked as departed
	probedAt     Time       // time of the last connect probe
}

// membership lists the proxies of the fleet, this one included, with the state reported by their heartbeats and departure
// records.
type membership struct {
	settings    *Settings
	rows        *rowTable
	all         []*member // sorted by name
	byName      map[string]*member
	recentViews [16]uint64 // latest hashes of this proxy's view of the fleet, newest first
}

func newMembership(settings *Settings, rows *rowTable) *membership {
	return &membership{settings: settings, rows: rows, byName: map[string]*member{}}
}

// findOrAdd returns the member with a name, and adds it if it is new. It returns nil if there are already maxMembers.
func (m *membership) findOrAdd(name string) *member {
	if found := m.byName[name]; found != nil {
		return found
	}
	if len(m.all) >= maxMembers {
		return nil
	}
	added := &member{name: name}
	m.byName[name] = added
	i, _ := slices.BinarySearchFunc(m.all, name, func(other *member, name string) int {
		return strings.Compare(other.name, name)
	})
	m.all = slices.Insert(m.all, i, added)
	return added
}

// removeIf removes the members for which remove returns true. It calls remove once for each member, in order of names.
func (m *membership) removeIf(remove func(*member) bool) {
	m.all = slices.DeleteFunc(m.all, func(other *member) bool {
		if !remove(other) {
			return false
		}
		delete(m.byName, other.name)
		return true
	})
}

// forgetHeartbeat clears the heartbeat of a member if that is the given row, which has expired.
func (m *membership) forgetHeartbeat(row *storedRow) {
	if owner := m.byName[row.Key]; owner != nil && owner.heartbeat == row {
		owner.heartbeat = nil
	}
}

// isSelf reports whether a member is this proxy.
func (m *membership) isSelf(other *member) bool { return other.name == m.settings.Name }

// fleetSize returns the number of proxies in the fleet, departed ones included: the configured size or the number of
// members, whichever is larger.
func (m *membership) fleetSize() int { return max(len(m.all), m.settings.FleetSize) }

// departedCount returns the number of members that have departed.
func (m *membership) departedCount() int {
	count := 0
	for _, other := range m.all {
		if other.departed {
			count++
		}
	}
	return count
}

// heartbeatInterval returns the time between two heartbeats of a proxy.
func (m *membership) heartbeatInterval() Time {
	return minHeartbeatInterval + Time(len(m.all))*heartbeatSpacing
}

// heartbeatTimeout returns the age of its latest heartbeat above which a proxy is probed. It is longer for a proxy with
// a successor: connections are refused until the successor listens, although the proxy of that name has not departed.
func (m *membership) heartbeatTimeout(other *member) Time {
	if other.report.HasSuccessor {
		return missedWithSuccessor * m.heartbeatInterval()
	}
	return missedHeartbeats * m.heartbeatInterval()
}

// live reports whether heartbeats of a proxy still arrive, directly or forwarded by other proxies. This proxy itself is
// always live.
func (m *membership) live(other *member, now Time) bool {
	if m.isSelf(other) {
		return true
	}
	return other.heartbeat != nil &&
		now-other.heartbeat.writtenAt < m.heartbeatTimeout(other)+m.heartbeatInterval()+Second/2 &&
		!m.incarnationEnded(other)
}

// incarnationEnded reports whether a departure record is stored for the incarnation of a proxy's latest heartbeat. Later
// heartbeats of that incarnation have no effect: a process that was wrongly recorded as departed takes a new incarnation.
func (m *membership) incarnationEnded(other *member) bool {
	departure := m.rows.departure(other.name)
	return departure != nil && other.heartbeat != nil && departure.Epoch >= other.heartbeat.Epoch
}

// needsProbe reports whether a proxy is silent and must be probed by a connection to detect whether its process has
// ended.
func (m *membership) needsProbe(other *member, now Time) bool {
	return !m.isSelf(other) && other.heartbeat != nil && !m.incarnationEnded(other) &&
		now-other.heartbeat.writtenAt > m.heartbeatTimeout(other) && now-other.probedAt >= probeInterval
}

// viewHash returns a hash of this proxy's view of the fleet: its size, the members, their incarnations, and which of
// them have departed. The hash is recorded, since a heartbeat of another proxy with the same hash acknowledges this
// incarnation.
func (m *membership) viewHash() uint64 {
	view := uint64(m.fleetSize())
	for _, other := range m.all {
		state := other.incarnation << 1
		if m.isSelf(other) {
			state = m.settings.Incarnation << 1
		}
		if other.departed {
			state |= 1
		}
		view ^= xxhash.Sum64String(other.name) * uint64(2*state+1)
	}
	if m.recentViews[0] != view {
		copy(m.recentViews[1:], m.recentViews[:len(m.recentViews)-1])
		m.recentViews[0] = view
	}
	return view
}

// recordHeartbeat updates a member from its latest heartbeat. An acknowledgement remains valid for the incarnation of the
// member that sent it.
func (m *membership) recordHeartbeat(other *member, heartbeat *storedRow, report *Heartbeat) {
	sameView := report.ViewHash != 0 && slices.Contains(m.recentViews[:], report.ViewHash)
	other.acknowledged = other.acknowledged && heartbeat.Epoch == other.incarnation || sameView
	other.heartbeat, other.report, other.incarnation = heartbeat, *report, heartbeat.Epoch
}

// resetAcknowledgements discards all acknowledgements. It is called when this proxy takes a new incarnation.
func (m *membership) resetAcknowledgements() {
	for _, other := range m.all {
		other.acknowledged = false
	}
	clear(m.recentViews[:])
}

// allAcknowledged reports whether each proxy of the fleet is a member and has departed or acknowledged this incarnation.
// A proxy that is missing from the members may be on the other side of a network partition.
func (m *membership) allAcknowledged() bool {
	for _, other := range m.all {
		if !other.departed && !other.acknowledged && !m.isSelf(other) {
			return false
		}
	}
	return len(m.all) >= m.fleetSize()
}

// list returns all members, sorted by name.
func (m *membership) list(now Time) []Member {
	all := make([]Member, 0, len(m.all))
	for _, other := range m.all {
		entry := Member{
			Name: other.name, Incarnation: other.incarnation, State: m.stateOf(other, now), Heartbeat: other.report,
		}
		if other.heartbeat != nil {
			entry.HeartbeatAge = now - other.heartbeat.writtenAt
		}
		all = append(all, entry)
	}
	return all
}

// stateOf returns the state of a proxy at time now.
func (m *membership) stateOf(other *member, now Time) MemberState {
	switch {
	case m.live(other, now):
		return MemberLive
	case other.departed || m.incarnationEnded(other):
		return MemberDeparted
	case other.heartbeat != nil || other.incarnation > 0:
		return MemberSilent
	default:
		return MemberUnknown
	}
}
