// Package proxy is the data path: it accepts client connections, lets the balancer decide on each request, and sends
// attempts to upstream hosts (caches and the origin).
//
// # Goroutines and state
//
// Each of the following has its own goroutine. Other goroutines access its state only under a lock or by atomics:
//
//   - [Router] owns the balancer, the request slots, the indices of the hosts, the zone health and the shadow balancer.
//   - An upstreamHost, one per host, owns the connections to the host and the queue of attempts for them.
//   - An upstreamConn, one per connection to a host, carries one attempt at a time.
//   - [EndpointList] owns the index of the endpoint list and its watches. Each watch has a goroutine that reads from
//     discovery.
//   - [Duties] and [NegativeCache] own the assignment of duties to proxies and the negative cache.
//   - [Listener] accepts connections. A clientConn, one per connection, reads commands and writes replies.
//
// They communicate only by calls that they post to each other's mailboxes.
//
// # Blocking order
//
// Connections may block on the mailboxes of hosts and the router, duties on those of the endpoint list and the router,
// and hosts and the endpoint list on that of the router. The router blocks on no mailbox. Therefore no cycle of full
// mailboxes, and so no deadlock, can form.
package proxy
