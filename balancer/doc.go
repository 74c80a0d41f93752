// Package balancer decides how each client request is handled: which endpoint serves it, whether it is
// hedged, retried or coalesced with another request, and whether it is rejected.
//
// Each proxy has one balancer; balancers share no state. The caller reports each event by a method call,
// together with the current time of its own clock in units of 0.1 ms. The method returns the resulting
// decisions in the order in which they must be carried out. The returned slice is reused by the next call.
// The package does no I/O, starts no goroutines and reads no clock: the same events in the same order give
// the same decisions. A balancer is not safe for concurrent use; one goroutine owns it.
//
// Requests and endpoints are identified by small indices that the caller assigns. The caller may reuse the
// index of a request once the request has its final reply and all of its upstream attempts have ended.
//
// A balancer can also run as the shadow of another balancer. It then receives the same events and makes
// decisions that are not carried out, and the caller reports to it what the other balancer did.
//
// The files listed under policy in deploy/balancer.toml contain every decision. The others convert settings
// and maintain state: requests, deadlines, queues, ring points and moving averages.
package balancer
