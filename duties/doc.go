// Package duties distributes work that need not be done by every proxy of a fleet: health check probes of ejected
// nodes, watches of service discovery, and idle connections to each node. The load that the fleet puts on a node or on
// discovery therefore does not grow with the number of proxies.
//
// There is no election and no leader. Each proxy ranks all proxies by rendezvous hashing, so proxies with the same
// view of the membership compute the same assignment. While views differ, a duty may be performed twice, but it is
// never left undone. A watcher holds a lease that it renews with heartbeats. When too few leases are valid, other
// proxies take over; the number of proxies that may do so doubles with each takeover delay.
//
// An [Assigner] decides for one proxy. Each of its methods reports one event, at a time of the caller's clock, and
// returns the resulting decisions in the order in which they must be executed. The returned slice is only valid until
// the next call. The package does no I/O, starts no goroutines and uses no random numbers: the same events lead to the
// same decisions. An Assigner is not safe for concurrent use.
package duties
