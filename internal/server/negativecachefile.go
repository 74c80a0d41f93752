package server

import (
	"fmt"

	"woodproxy/negativecache"
)

// maxTTLSeconds is the upper bound of believe_s. The negative cache checks it; here it is only part of the error for a
// value below the lower bound.
const maxTTLSeconds = 600

// negativeCacheFile is the format of the negative cache file (deploy/missing.toml).
type negativeCacheFile struct {
	Entries       int     `toml:"entries"`
	TTLSeconds    float64 `toml:"believe_s"`
	GracePeriodMS float64 `toml:"grace_ms"`
	GrowPerSecond int     `toml:"grow_per_s"`
}

// readNegativeCacheFile reads the negative cache file. It returns a *negativecache.NoPeersError if the fleet has several
// proxies and there is no gossip: the proxy must receive the write reports of all other proxies.
func readNegativeCacheFile(file string, config *Config) (*negativecache.Settings, error) {
	values := &negativeCacheFile{Entries: 1 << 16, TTLSeconds: 10, GracePeriodMS: 2000, GrowPerSecond: 2000}
	policy := &negativecache.Settings{}
	err := readPolicyFile("missing", file, values, func() error {
		*policy = negativecache.Settings{
			ProxyName:           config.Name,
			Entries:             values.Entries,
			TTL:                 tenths[negativecache.Time](values.TTLSeconds * 1000),
			ReportGrace:         tenths[negativecache.Time](values.GracePeriodMS),
			MaxNewKeysPerSecond: values.GrowPerSecond,
			TenantCount:         len(config.Settings.Tenants),
		}
		if err := policy.Check(); err != nil {
			return err
		}
		return values.checkTTL(config)
	})
	if err != nil {
		return nil, err
	}
	if proxies := config.Settings.Balancer.Proxies; config.Gossip == nil && proxies > 1 {
		return nil, fmt.Errorf("missing: %w", &negativecache.NoPeersError{File: file, Proxies: proxies})
	}
	return policy, nil
}

// checkTTL checks that the TTL is at least twice the longest overall timeout: a write may be executed until this timeout
// ends, and the origin's responses for the written key are not cached before that.
func (f *negativeCacheFile) checkTTL(config *Config) error {
	minTTL := 2 * float64(config.Settings.LongestTimeout) / float64(negativecache.Second)
	if f.TTLSeconds < minTTL {
		return &negativecache.RangeError{Key: "believe_s", Value: f.TTLSeconds, Min: minTTL, Max: maxTTLSeconds}
	}
	return nil
}
