package negativecache

import (
	"fmt"

	"woodproxy/internal/configfile"
)

// maxEntries is the maximum number of entries. A table of this size takes 113 MB.
const maxEntries = 1 << 22

// Settings is the configuration of one proxy's cache. The Check method enforces the ranges of Entries, TTL, ReportGrace
// and MaxNewKeysPerSecond.
type Settings struct {
	ProxyName   string // name of this proxy
	Entries     int    // minimum capacity of the table, 1 to 4,194,304
	TTL         Time   // TTL of an absent key, 0.5 s to 600 s, and at least twice the longest request timeout
	ReportGrace Time   // time after which an outstanding write report counts as lost, 0.1 s to 60 s

	// MaxNewKeysPerSecond is the maximum rate at which this proxy adds absent keys, 1 to 1,000,000. It limits the effect of
	// an origin that reports all keys absent for a moment.
	MaxNewKeysPerSecond int
	TenantCount         int // number of tenants that share the rate evenly, so that none uses all of it; 0: no tenants
}

// Check returns a *[RangeError] for the first value that is out of its range. Errors name the keys of the
// configuration file.
func (s *Settings) Check() error {
	return configfile.CheckRanges(
		configfile.Range("entries", float64(s.Entries), 1, maxEntries),
		configfile.Range("believe_s", float64(s.TTL)/float64(Second), 0.5, 600),
		configfile.Range("grace_ms", float64(s.ReportGrace)/float64(millisecond), 100, 60000),
		configfile.Range("grow_per_s", float64(s.MaxNewKeysPerSecond), 1, 1e6),
	)
}

// RangeError reports a configured value that is out of its range.
type RangeError = configfile.RangeError

// NoPeersError reports that several proxies may write, but that this one, without gossip, receives no write reports.
type NoPeersError struct {
	File    string // configuration file of the cache
	Proxies int    // number of proxies that may write
}

// Error names the file and says how to configure peers. Operators see the text.
func (e *NoPeersError) Error() string {
	return fmt.Sprintf("%s: %d proxies may write, but there is no gossip between them; "+
		"name a gossip file as well (--peers FILE), or omit the negative cache file", e.File, e.Proxies)
}
