package duties

import (
	"fmt"

	"woodproxy/internal/configfile"
)

// Settings is the configuration of one proxy. Spans are in units of [Time]; the Check method enforces their ranges.
type Settings struct {
	Self              string // name of this proxy
	Watchers          int    // proxies that watch discovery for the fleet, 2 to 64; 0: each proxy watches for itself
	IdleOwners        int    // proxies that keep idle connections to a node, 0 to 64; 0: all proxies do
	ShareProbes       bool   // whether probes of nodes that stopped answering are shared
	ProbeInterval     Time   // interval between two probes of a node by the fleet, 50 ms to 60 s
	TakeoverDelay     Time   // twice as many proxies may take over each time this span passes without a report, 20 ms to 10 s
	HeartbeatInterval Time   // interval between two heartbeats of a watcher, 100 ms to 2 s
	LeaseDuration     Time   // how long a heartbeat is valid, 200 ms to 4 s, at least two heartbeat intervals
}

// maxReplicas is the highest configurable number of watchers, and of owners of a node's idle connections.
const maxReplicas = 64

// minHeartbeatsPerLease is how many heartbeat intervals a lease has to span, so that one lost heartbeat does not end
// it.
const minHeartbeatsPerLease = 2

// Check returns a *[RangeError] for the first value that is out of its range, or an error that names both spans if a
// heartbeat is valid for less than two heartbeat intervals. Errors name the keys of the configuration file.
func (s *Settings) Check() error {
	err := configfile.CheckRanges(
		configfile.Range("watchers", float64(s.Watchers), 0, maxReplicas),
		configfile.Range("keepers", float64(s.IdleOwners), 0, maxReplicas),
		configfile.Range("trial_ms", milliseconds(s.ProbeInterval), 50, 60000),
		configfile.Range("turn_ms", milliseconds(s.TakeoverDelay), 20, 10000),
		configfile.Range("beat_ms", milliseconds(s.HeartbeatInterval), 100, 2000),
		configfile.Range("patience_ms", milliseconds(s.LeaseDuration), 200, 4000),
	)
	if err != nil {
		return err
	}
	if s.Watchers == 1 { // if the only watcher died, the whole fleet would get no watch events for a while
		return configfile.CheckRanges(configfile.Range("watchers", 1, 2, maxReplicas))
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

// SpanRatioError reports two configured spans of which the second is not longer than the first by the required factor.
type SpanRatioError struct {
	ShortKey, LongKey string  // keys of the configuration file
	Short, Long       float64 // configured values, in milliseconds
	MinRatio          float64 // least allowed Long / Short
}

// Error names both keys and says which one to change.
func (e *SpanRatioError) Error() string {
	return fmt.Sprintf("%s: %v: less than %v times %s, %v; raise it, or lower %s",
		e.LongKey, e.Long, e.MinRatio, e.ShortKey, e.Short, e.ShortKey)
}

// NoPeersError reports that duties are configured on a proxy that has no peers to share them with.
type NoPeersError struct {
	File string // path of the duties configuration file
}

// Error names the file and says how to configure peers.
func (e *NoPeersError) Error() string {
	return fmt.Sprintf("%s: proxies do not talk; name a file of peers as well (--peers FILE), or leave the file of turns out",
		e.File)
}
