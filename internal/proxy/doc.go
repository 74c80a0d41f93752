// Package proxy is the data path: it accepts clients' connections, has the balancer decide on each request, and sends
// attempts to upstream hosts (caches and the origin).
//
// # Goroutines and state
//
// Each of these has a goroutine of its own, and nobody else touches its state unless a lock or an atomic guards it:
//
//   - [Router] owns the balancer, the request slots and the hosts' indices, the zones' health and the shadow balancer.
//   - An upstreamHost, one for each host, owns the connections to it and the queue for them.
//   - An upstreamConn, one for each connection to a host, carries one attempt at a time.
//   - [EndpointList] owns the endpoint list's index and its watches, each with a goroutine that reads from discovery.
//   - [Duties] and [NegativeCache] own the assignment of duties to proxies and the negative cache.
//   - [Listener] accepts connections, and a clientConn, one for each, reads commands and writes replies.
//
// They share nothing but calls in each other's mailboxes.
//
// # Who may wait for whom
//
// Connections wait for hosts and the router; duties wait for the endpoint list and the router; hosts and the endpoint
// list wait for the router; the router waits for nobody. So no cycle of full mailboxes can form.
package proxy
