package simnet

import "woodproxy/replica"

// MeasurePropagation applies an endpoint change from discovery at the first proxy and runs the fleet for a duration. It
// returns the delays after which the other proxies received the change, in ascending order. Proxies that did not receive
// it are omitted.
func (f *Fleet) MeasurePropagation(duration replica.Time) []replica.Time {
	const (
		key   = "c1"
		index = 5 // index of the endpoint list
	)
	f.Do(0, func(p *Proxy, now replica.Time) []replica.Decision {
		return p.Store.ApplyEndpointList(now, false, index, []replica.Row{{Key: key, Rank: replica.EndpointDraining}})
	})
	var delays []replica.Time
	start, reached := f.Now, make([]bool, len(f.Proxies))
	f.Run(duration, func() {
		for i, p := range f.Proxies[1:] {
			if !reached[i] && p.EndpointRows[key].Epoch == index {
				reached[i] = true
				delays = append(delays, f.Now-start)
			}
		}
	})
	return delays
}
