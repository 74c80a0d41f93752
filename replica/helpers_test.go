package replica

import "slices"

// testTick is the time between two ticks in tests.
const testTick = Second / 10

// newReplica returns a replica with incarnation 1 at time 0.
func newReplica(name string, proxies int) *Store {
	return New(0, Settings{
		Name: name, Incarnation: 1, FleetSize: proxies, Address: name + ":1",
		TakeoverDelay: 2 * Second, QuotaFloor: 0.25, ObservationTTL: 5 * Second,
	}, 1)
}

// withAction returns the decisions with the given action.
func withAction(decisions []Decision, action Action) (found []Decision) {
	for _, d := range decisions {
		if d.Action == action {
			found = append(found, d)
		}
	}
	return found
}

// tickCopy calls Tick and returns a copy of the decisions, which the next call does not overwrite.
func (s *Store) tickCopy(now Time) []Decision { return slices.Clone(s.Tick(now)) }

// endpointRow returns the row of an endpoint with its current age, and whether it is stored.
func (s *Store) endpointRow(key string) (found Row, stored bool) {
	s.rows.forEach(KindEndpoint, func(row *storedRow) {
		if row.Key == key {
			found, stored = row.aged(s.now), true
		}
	})
	return found, stored
}
