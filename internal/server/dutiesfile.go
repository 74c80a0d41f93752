package server

import (
	"fmt"

	"woodproxy/duties"
)

// dutiesFile is the format of the duties file (deploy/turns.toml). Times are in milliseconds.
type dutiesFile struct {
	Watchers          int     `toml:"watchers"`
	IdleConnOwners    int     `toml:"keepers"`
	HealthChecks      bool    `toml:"trials"`
	ProbeIntervalMS   float64 `toml:"trial_ms"`
	TakeoverDelayMS   float64 `toml:"turn_ms"`
	HeartbeatMS       float64 `toml:"beat_ms"`
	HeartbeatExpiryMS float64 `toml:"patience_ms"`
}

// readDutiesFile reads the duties file. Without gossip it returns a *duties.NoPeersError, because duties are shared
// among proxies.
func readDutiesFile(file string, config *Config) (*duties.Settings, error) {
	if config.Gossip == nil {
		return nil, fmt.Errorf("turns: %w", &duties.NoPeersError{File: file})
	}
	shortest := shortestObjective[duties.Time](config.Settings)
	values := &dutiesFile{
		HealthChecks:      true,
		ProbeIntervalMS:   max(float64(shortest)/10, 50),
		TakeoverDelayMS:   200,
		HeartbeatMS:       700,
		HeartbeatExpiryMS: 2500,
	}
	policy := &duties.Settings{}
	err := readPolicyFile("turns", file, values, func() error {
		*policy = duties.Settings{
			Self:              config.Name,
			Watchers:          values.Watchers,
			IdleOwners:        values.IdleConnOwners,
			ShareProbes:       values.HealthChecks,
			ProbeInterval:     tenths[duties.Time](values.ProbeIntervalMS),
			TakeoverDelay:     tenths[duties.Time](values.TakeoverDelayMS),
			HeartbeatInterval: tenths[duties.Time](values.HeartbeatMS),
			LeaseDuration:     tenths[duties.Time](values.HeartbeatExpiryMS),
		}
		return policy.Check()
	})
	if err != nil {
		return nil, err
	}
	return policy, nil
}
