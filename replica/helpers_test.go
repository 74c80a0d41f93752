package replica

import "slices"

// testTick is the time between two ticks.
const testTick = Second / 10

// newReplica returns a replica with an incarnation of one, at time zero.
func newReplica(name string, proxies int) *Instance {
	return New(0, Terms{
		Me: name, Incarnation: 1, Proxies: proxies, Address: name + ":1",
		Hold: 2 * Second, Floor: 0.25, SightLife: 5 * Second,
	}, 1)
}

// withAct returns the decisions with an act.
func withAct(decisions []Decision, act Act) (found []Decision) {
	for _, d := range decisions {
		if d.Act == act {
			found = append(found, d)
		}
	}
	return found
}

// tickCopy ticks and returns the decisions in a slice that the next call does not reuse.
func (s *Instance) tickCopy(now Time) []Decision { return slices.Clone(s.Tick(now)) }

// endpointRow returns the stored row of an endpoint.
func (s *Instance) endpointRow(key string) (found Row, stored bool) {
	s.Each(Node, func(row Row) {
		if row.Key == key {
			found, stored = row, true
		}
	})
	return found, stored
}
