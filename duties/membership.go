package duties

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Proxy is a member of the fleet according to the replicated state.
type Proxy struct {
	Name, Zone string
	Alive      bool // whether its heartbeats arrived recently
}

// membership is the set of proxies that are alive, in the caller's order, prepared for rendezvous hashing. It is
// immutable. The slices have one element for each proxy.
type membership struct {
	names     []string
	hashes    []uint64 // hashes of the names
	zones     []int    // zone numbers, from 0
	zoneCount int
	alive     map[string]struct{} // set of the names
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

// equal reports whether two memberships have the same proxies in the same zones and order.
func (m *membership) equal(other *membership) bool {
	return slices.Equal(m.names, other.names) && slices.Equal(m.zones, other.zones)
}

// fleetView holds the inputs that all parts of an Assigner share.
type fleetView struct {
	settings   Settings
	now        Time // time of the current call, which never decreases
	members    *membership
	catchingUp bool // whether the replicated state may be incomplete, so that no duty may be left to other proxies
}

// selfRank returns the number of proxies that precede this one in the order for a subject.
func (v *fleetView) selfRank(subject uint64) int { return v.members.rank(subject, v.settings.Self) }
