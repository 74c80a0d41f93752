package server

import (
	"reflect"

	"woodproxy/internal/proxy"

	"go.uber.org/zap"
)

// rereadResult is what came of reading the configuration anew.
type rereadResult struct {
	config *Config
	err    error
}

// handleSignals handles signals until one tells the proxy to stop, and returns the configuration in effect then. The
// file is read on a goroutine of its own, one at a time: its disk may hang, and the proxy is to stop all the same.
func (s *server) handleSignals(reread func() (*Config, error), signals Signals) *Config {
	current := s.config
	reading, again := false, false
	results := make(chan rereadResult, 1)
	read := func() {
		config, err := reread()
		results <- rereadResult{config, err}
	}
	for {
		select {
		case <-signals.Stop:
			return current
		case <-signals.LogCounters:
			s.log.Info("counters", counterFields(s.counters)...)
		case <-signals.Reload:
			if again = reading; !reading { // what is being read may have changed since
				reading = true
				go read()
			}
		case result := <-results:
			current = s.takeReread(current, result)
			if reading = again; again {
				again = false
				go read()
			}
		}
	}
}

// takeReread applies a configuration that was read anew, unless it is bad, and returns the one in effect.
func (s *server) takeReread(current *Config, result rereadResult) *Config {
	if result.err != nil {
		s.log.Error("configuration reload failed; the previous configuration stays in effect", zap.Error(result.err))
		return current
	}
	s.reload(current, result.config)
	return result.config
}

// reload applies what can change while the proxy runs: the address of discovery, cores and memory. All else is reset
// to the current values, and a warning says so.
func (s *server) reload(current, config *Config) {
	s.log.Info("configuration reloaded", zap.String("discovery", config.Discovery), zap.Float64("cores", config.Cores),
		zap.Int("memory_mb", config.MemoryMB))
	if !sameStartValues(current, config) {
		s.log.Warn("name, listen, management, sockets, settings, watch, peers, zones, turns, moves and missing keys" +
			" can't be reloaded; they take effect at the next start")
		keepStartValues(current, config)
	}
	s.resources.update(func(b *resourceBudget) { b.cores, b.memoryMB = config.Cores, config.MemoryMB })
	s.endpoints.SetAddress(config.Discovery)
}

// sameStartValues tells whether two configurations agree in all that is read at the start only.
func sameStartValues(a, b *Config) bool {
	return a.Name == b.Name && a.Listen == b.Listen && a.Management == b.Management && a.Sockets == b.Sockets &&
		a.RebalanceFile == b.RebalanceFile && // its terms hold a function, which can't be compared
		reflect.DeepEqual(a.Settings, b.Settings) &&
		reflect.DeepEqual(a.ShadowSettings, b.ShadowSettings) &&
		reflect.DeepEqual(a.Gossip, b.Gossip) &&
		reflect.DeepEqual(a.ZoneHealth, b.ZoneHealth) &&
		reflect.DeepEqual(a.Duties, b.Duties) &&
		reflect.DeepEqual(a.NegativeCache, b.NegativeCache)
}

// keepStartValues sets all that is read at the start only to the current values.
func keepStartValues(current, config *Config) {
	config.Name, config.Listen, config.Management = current.Name, current.Listen, current.Management
	config.Sockets = current.Sockets
	config.Settings, config.ShadowSettings = current.Settings, current.ShadowSettings
	config.Gossip, config.ZoneHealth, config.Duties = current.Gossip, current.ZoneHealth, current.Duties
	config.Rebalance, config.NegativeCache = current.Rebalance, current.NegativeCache
}

func counterFields(counters *proxy.Counters) []zap.Field {
	var fields []zap.Field
	counters.Each(func(name string, value int64) { fields = append(fields, zap.Int64(name, value)) })
	return fields
}
