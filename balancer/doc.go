// Package balancer decides what becomes of each client request: which endpoint serves it, whether it is
// hedged, retried or coalesced with another, and whether it is rejected.
//
// One balancer decides for one proxy; balancers share no state. Each event method reports one thing that
// happened, together with the caller's clock in units of 0.1 ms, and returns the decisions that follow from
// it, in the order in which they have to be carried out. The returned slice is reused by the next call. The
// package does no I/O, starts no goroutines and reads no clock: the same events in the same order give the
// same decisions. A balancer is not safe for concurrent use; one goroutine owns it.
//
// Requests and endpoints are small indices that the caller assigns. It may reuse the index of a request once
// that has its final answer and all of its upstream attempts have ended.
//
// A balancer can also run as the shadow of another one: it is given the same events and decides, but is not
// obeyed, and is told what the other one did.
//
// The files listed under policy in deploy/balancer.toml hold every decision. The others convert settings and
// keep books: requests, deadlines, queues, ring points and moving means.
package balancer
