// Package replica implements the state that the proxies of a fleet replicate to each other by gossip, and the decisions
// that each proxy derives from it.
//
// The replica of a proxy consists of the following parts, each with its own state:
//
//   - a table of versioned rows with a digest (rows.go);
//   - the members of the fleet with their heartbeats and departure records (members.go, heartbeat.go);
//   - anti-entropy: peers compare digests, and a proxy that starts or was suspended catches up from a sync peer
//     (antientropy.go);
//   - the quota, which is the fraction of the fleet's limits that this proxy may use, and quota leases (quota.go);
//   - expiry of rows and members (expiry.go).
//
// A method with a time argument handles one event and returns the resulting decisions in the order in which the caller
// must carry them out. The returned slice is valid until the next such call. The time is read from the caller's clock;
// a time before the latest one seen is replaced by the latest one, so that time never goes back. The package does no
// I/O and starts no goroutines, and the same calls with the same seed return the same decisions. A replica is not safe
// for concurrent use: all calls must come from one goroutine.
//
// Versions of a row are ordered by counters of their writers or by the index of the endpoint list, never by a clock.
package replica
