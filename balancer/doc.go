// Package balancer decides what becomes of each exchange: which node gets it, when it is tried again, when it
// is turned away. One Instance decides for one proxy; instances share nothing. Each method reports one
// thing that happened, with the clock in tenths of a millisecond, and returns the decisions that follow, in
// order, in a slice that the next call reuses. Exchanges and nodes are small indices that the caller hands
// out; it may reuse an exchange's index once that has its final answer and all its upstream tries have
// ended. No I/O in here.
//
// Interface: New, Nodes, ListFailed, Arrive, Returned, Streaming, Heard, Share, Bar, Rest, Until, Left, Woken
package balancer
