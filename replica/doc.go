// Package replica keeps the state that the proxies of a fleet replicate among each other, and decides what follows
// from it.
//
// The replica of one proxy has these parts, each with its own state:
//
//   - a table of versioned rows with a digest (rows.go);
//   - the members of the fleet with their heartbeats and departure records (members.go, heartbeat.go);
//   - anti-entropy: digests are compared with peers, and a proxy that starts or was suspended catches up from a sync
//     peer (antientropy.go);
//   - the quota, which is the part of the fleet's limits that this proxy may use, and leases of quota (quota.go);
//   - expiry of rows and members (expiry.go).
//
// Each method reports one event with the time on the caller's clock and returns the decisions that follow, in order.
// The slice of decisions is valid until the next call. Time never goes back: an earlier time counts as the latest one
// seen. The package does no I/O and starts no goroutine, and the same calls with the same seed give the same decisions.
// A replica is not safe for concurrent use: one goroutine has to make all calls.
//
// Versions of a row are ordered by counters of their writers or by the index of the endpoint list, never by a clock.
package replica
