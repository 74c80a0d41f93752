package replica

import "slices"

// testTick is the time between two ticks.
const testTick = Second / 10

// newReplica returns a replica with an incarnation of one, at time zero.
func newReplica(name string, proxies int) *Store {
	return New(0, Settings{
		Name: name, Incarnation: 1, FleetSize: proxies, Address: name + ":1",
		TakeoverDelay: 2 * Second, QuotaFloor: 0.25, ObservationTTL: 5 * Second,
	}, 1)
}

// withAction returns the decisions with an act.
func withAction(decisions []Decision, action Action) (found []Decision) {
	for _, d := range decisions {
		if d.Action == action {
			found = append(found, d)
		}
	}
	return found
}

// tickCopy ticks and returns the decisions in a slice that the next call does not reuse.
func (s *Store) tickCopy(now Time) []Decision { return slices.Clone(s.Tick(now)) }

// endpointRow returns the stored row of an endpoint.
func (s *Store) endpointRow(key string) (found Row, stored bool) {
	s.rows.forEach(KindEndpoint, func(row *storedRow) {
		if row.Key == key {
			found, stored = row.aged(s.now), true
		}
	})
	return found, stored
}
