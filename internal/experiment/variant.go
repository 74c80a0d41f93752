package experiment

import (
	"slices"

	"woodproxy/internal/emulator"
)

// Variant is a proxy program with its own settings and changes to the scenario that it runs. A field with its zero value
// leaves the scenario unchanged.
type Variant struct {
	Name          string         `toml:"name"`
	Program       []string       `toml:"program"`     // the program and its arguments
	Settings      map[string]any `toml:"settings"`    // overrides of settings, by dotted path
	RequestRate   float64        `toml:"rate"`        // requests a second
	Proxies       int            `toml:"proxies"`     // size of the proxy fleet
	ZipfExponent  float64        `toml:"zipf"`        // exponent of the popularity of keys
	CoresPerProxy float64        `toml:"cores"`       // CPU limit of each proxy
	Connections   int            `toml:"connections"` // connections that clients hold open to each proxy
	Gossip        *bool          `toml:"talk"`        // whether proxies exchange state by gossip
	ZoneHealth    *string        `toml:"judged"`      // how proxies judge the health of zones
	Snapshots     *bool          `toml:"state"`       // whether proxies write a state file
	NegativeCache *bool          `toml:"missing"`     // whether proxies cache that a key is absent
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
		// Faults of the links between proxies have no effect without gossip.
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
