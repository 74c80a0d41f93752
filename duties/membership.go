package duties

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Proxy is a member of the fleet, as the replicated state knows it.
type Proxy struct {
	Name, Zone string
	Alive      bool // whether it is alive: its heartbeats have been seen lately
}

// membership is the set of proxies that are alive, in the caller's order, with what rendezvous hashing needs. It
// does not change once it is made. The slices run in parallel.
type membership struct {
	names     []string
	hashes    []uint64 // of the names
	zones     []int    // number of each proxy's zone, from 0
	zoneCount int
	alive     map[string]struct{} // the names
}

func newMembership(all []Proxy) *membership {
	m := &membership{alive: map[string]struct{}{}}
	zoneNumbers := map[string]int{}
	for _, proxy := range all {
		if !proxy.Alive {
			continue
		}
		zone, known := zoneNumbers[proxy.Zone]
		if !known {
			zone = len(zoneNumbers)
			zoneNumbers[proxy.Zone] = zone
		}
		m.names = append(m.names, proxy.Name)
		m.hashes = append(m.hashes, xxhash.Sum64String(proxy.Name))
		m.zones = append(m.zones, zone)
		m.alive[proxy.Name] = struct{}{}
	}
	m.zoneCount = len(zoneNumbers)
	return m
}

func (m *membership) size() int { return len(m.names) }

func (m *membership) contains(name string) bool {
	_, alive := m.alive[name]
	return alive
}

// equal tells whether two memberships have the same proxies in the same zones and order.
func (m *membership) equal(other *membership) bool {
	return slices.Equal(m.names, other.names) && slices.Equal(m.zones, other.zones)
}

// fleetView is what all parts of a proxy's decisions read: its settings, the time of the present call, and the fleet.
type fleetView struct {
	settings   Settings
	now        Time // never goes back
	members    *membership
	catchingUp bool // the replicated state may be incomplete, so that no duty may be left to others
}

// selfRank is the number of proxies that come before this one in the order for a subject.
func (v *fleetView) selfRank(subject uint64) int { return v.members.rank(subject, v.settings.Self) }
