package server

import (
	"reflect"

	"woodproxy/internal/proxy"

	"go.uber.org/zap"
)

// rereadResult is the result of reading the configuration again.
type rereadResult struct {
	config *Config
	err    error
}

// handleSignals handles signals until the signal to stop, and returns the configuration that is then in effect. The
// configuration is read on a separate goroutine, one at a time: a signal to stop must be handled even if the disk hangs. A
// reload during a read leads to one more read afterwards.
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
			if again = reading; !reading { // the file may have changed after it was read
				reading = true
				go read()
			}
		case result := <-results:
			current = s.applyReread(current, result)
			if reading = again; again {
				again = false
				go read()
			}
		}
	}
}

// applyReread applies a configuration that was read again, and returns the configuration in effect. If reading failed, the
// current configuration stays in effect.
func (s *server) applyReread(current *Config, result rereadResult) *Config {
	if result.err != nil {
		s.log.Error("configuration reload failed; the previous configuration stays in effect", zap.Error(result.err))
		return current
	}
	s.reload(current, result.config)
	return result.config
}

// reload applies the values that can change while the proxy runs: the address of discovery, cores and memory. If other
// values differ, it logs a warning and resets them in config to the current values.
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

// sameStartValues reports whether two configurations agree in all values that take effect only at the start.
func sameStartValues(a, b *Config) bool {
	return a.Name == b.Name && a.Listen == b.Listen && a.Management == b.Management && a.Sockets == b.Sockets &&
		a.RebalanceFile == b.RebalanceFile && // the settings contain a function, which can't be compared
		reflect.DeepEqual(a.Settings, b.Settings) &&
		reflect.DeepEqual(a.ShadowSettings, b.ShadowSettings) &&
		reflect.DeepEqual(a.Gossip, b.Gossip) &&
		reflect.DeepEqual(a.ZoneHealth, b.ZoneHealth) &&
		reflect.DeepEqual(a.Duties, b.Duties) &&
		reflect.DeepEqual(a.NegativeCache, b.NegativeCache)
}

// keepStartValues sets all values of config that take effect only at the start to the current values.
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
