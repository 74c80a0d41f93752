package duties

import (
	"fmt"

	"woodproxy/internal/configfile"
)

// Settings is the configuration of one proxy. The Check method enforces the ranges.
type Settings struct {
	Self              string // name of this proxy
	Watchers          int    // proxies that watch discovery for the fleet, 2 to 64; 0: each proxy watches for itself
	IdleOwners        int    // proxies that keep idle connections to a node, 1 to 64; 0: all proxies do
	ShareProbes       bool   // whether the probes of ejected nodes are shared
	ProbeInterval     Time   // interval between the fleet's probes of a node, 50 ms to 60 s
	TakeoverDelay     Time   // time without a report that doubles the number of proxies that may take over, 20 ms to 10 s
	HeartbeatInterval Time   // interval between two heartbeats of a watcher, 100 ms to 2 s
	LeaseDuration     Time   // validity of a heartbeat, 200 ms to 4 s, at least two heartbeat intervals
}

// maxProxiesPerDuty is the maximum number of watchers, and of owners of a node's idle connections.
const maxProxiesPerDuty = 64

// minHeartbeatsPerLease is the minimum number of heartbeat intervals in a lease, so that the loss of one heartbeat does
// not end the lease.
const minHeartbeatsPerLease = 2

// Check returns a *[RangeError] for the first value that is out of its range, or a *[SpanRatioError] if a lease is
// shorter than two heartbeat intervals. Errors name the keys of the configuration file.
func (s *Settings) Check() error {
	err := configfile.CheckRanges(
		configfile.Range("watchers", float64(s.Watchers), 0, maxProxiesPerDuty),
		configfile.Range("keepers", float64(s.IdleOwners), 0, maxProxiesPerDuty),
		configfile.Range("trial_ms", milliseconds(s.ProbeInterval), 50, 60000),
		configfile.Range("turn_ms", milliseconds(s.TakeoverDelay), 20, 10000),
		configfile.Range("beat_ms", milliseconds(s.HeartbeatInterval), 100, 2000),
		configfile.Range("patience_ms", milliseconds(s.LeaseDuration), 200, 4000),
	)
	if err != nil {
		return err
	}
	if s.Watchers == 1 { // if the only watcher failed, the whole fleet would receive no watch events for a while
		return configfile.CheckRanges(configfile.Range("watchers", 1, 2, maxProxiesPerDuty))
	}
	if s.LeaseDuration < minHeartbeatsPerLease*s.HeartbeatInterval {
		return &SpanRatioError{
			ShortKey: "beat_ms", LongKey: "patience_ms",
			Short: milliseconds(s.HeartbeatInterval), Long: milliseconds(s.LeaseDuration), MinRatio: minHeartbeatsPerLease,
		}
	}
	return nil
}

// RangeError reports a configured value that is out of its range.
type RangeError = configfile.RangeError

// SpanRatioError reports two configured durations whose ratio is too small.
type SpanRatioError struct {
	ShortKey, LongKey string  // keys of the configuration file
	Short, Long       float64 // configured values, in milliseconds
	MinRatio          float64 // minimum of Long / Short
}

// Error names both keys and says how to change them.
func (e *SpanRatioError) Error() string {
	return fmt.Sprintf("%s: %v: less than %v times %s, %v; raise it, or lower %s",
		e.LongKey, e.Long, e.MinRatio, e.ShortKey, e.Short, e.ShortKey)
}

// NoPeersError reports that duties are configured on a proxy without gossip, which has no peers to share them with.
type NoPeersError struct {
	File string // path of the duties configuration file
}

// Error names the file and says how to configure peers.
func (e *NoPeersError) Error() string {
	return fmt.Sprintf("%s: duties need gossip; name a gossip file as well (--peers FILE), or omit the duties file", e.File)
}
