package experiment

import (
	"slices"

	"woodproxy/internal/emulator"
)

// Variant is a proxy program with settings of its own and changes to the scenario that it runs. Each field that is left
// at its zero value keeps what the scenario states.
type Variant struct {
	Name          string         `toml:"name"`
	Program       []string       `toml:"program"`     // the program and its arguments
	Settings      map[string]any `toml:"settings"`    // overrides of settings, by path with dots between its elements
	RequestRate   float64        `toml:"rate"`        // requests a second
	Proxies       int            `toml:"proxies"`     // size of the proxy fleet
	ZipfExponent  float64        `toml:"zipf"`        // of the popularity of keys
	CoresPerProxy float64        `toml:"cores"`       // CPU limit of each proxy
	Connections   int            `toml:"connections"` // that clients hold open to each proxy
	Gossip        *bool          `toml:"talk"`        // whether proxies exchange state
	ZoneHealth    *string        `toml:"judged"`      // how proxies decide on the health of zones
	Snapshots     *bool          `toml:"state"`       // whether proxies keep a state file
	NegativeCache *bool          `toml:"missing"`     // whether proxies remember keys that the origin lacks
	Duties        *bool          `toml:"turns"`       // whether proxies divide duties among themselves
}

// apply returns a copy of the scenario with the changes of the variant.
func (v Variant) apply(scenario *emulator.Scenario) *emulator.Scenario {
	changed := *scenario
	overrideIfPositive(&changed.Load.Rate, v.RequestRate)
	overrideIfPositive(&changed.Proxies, v.Proxies)
	overrideIfPositive(&changed.Keys.Zipf, v.ZipfExponent)
	overrideIfPositive(&changed.Limits.Cores, v.CoresPerProxy)
	overrideIfPositive(&changed.Load.Connections, v.Connections)
	overrideIfSet(&changed.ZoneHealth.Decision, v.ZoneHealth)
	overrideIfSet(&changed.State, v.Snapshots)
	overrideIfSet(&changed.NegativeCache.On, v.NegativeCache)
	overrideIfSet(&changed.Duties.On, v.Duties)
	overrideIfSet(&changed.Gossip.On, v.Gossip)
	if v.Gossip != nil && !*v.Gossip {
		// A fault of the links between proxies has nothing to act on without gossip.
		changed.Faults = slices.DeleteFunc(slices.Clone(changed.Faults), emulator.Fault.NeedsGossip)
	}
	return &changed
}

func overrideIfPositive[T int | float64](target *T, value T) {
	if value > 0 {
		*target = value
	}
}

func overrideIfSet[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
