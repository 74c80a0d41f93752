// Package duties spreads work that not every proxy of a fleet has to do: health check probes of nodes that stopped
// answering, the watch of service discovery, and the idle connections that are kept to each node. The load that a
// node or discovery gets from the whole fleet then does not grow with the number of proxies.
//
// There is no election and no leader. Each proxy ranks all proxies by rendezvous hashing, so proxies with the same
// membership view come to the same assignment. Where views differ for a while, a duty may be done twice, but it is
// never left undone. A watcher holds its duty by a lease that it renews with heartbeats; when too few leases are
// valid, more proxies take over, twice as many with each takeover delay.
//
// The entry point, made by [New], decides for one proxy. Each of its methods reports one event, with the caller's
// clock, and returns the decisions that follow, in the order in which they are to be carried out. The returned slice
// is only valid until the next call. The package does no I/O and starts no goroutines, and it draws no random
// numbers: the same events give the same decisions. It is not safe for concurrent use.
package duties
