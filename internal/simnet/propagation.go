package simnet

import "woodproxy/replica"

// MeasurePropagation has one proxy learn of an endpoint from discovery, and lets time pass. It returns how long each
// other proxy took to learn of it, in ascending order, without those that never did.
func (f *Fleet) MeasurePropagation(duration replica.Time) []replica.Time {
	const (
		key   = "c1"
		index = 5 // of the endpoint list
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
