// Package simadapter runs balancers under the simulator. It speaks the simulator's protocol, lines of JSON arrays in
// batches on a pair of streams: messages become calls on balancers, whose decisions are encoded as lines of the
// reply. It decides nothing.
//
// The simulator names requests and endpoints by strings; the balancer knows them by small indices. The adapter
// translates, for each running balancer on its own.
package simadapter
