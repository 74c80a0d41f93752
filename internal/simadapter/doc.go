// Package simadapter runs balancers under the simulator. It implements the simulator's protocol, in which each message
// is a JSON array on a line of its own and messages are grouped in batches. The package translates each message to a
// call on a balancer, and encodes the balancer's decisions as lines of the reply. It makes no routing decisions itself.
//
// The simulator identifies requests and endpoints by strings, and the balancer by small indices. The adapter keeps a
// separate mapping between the two for each running balancer.
package simadapter
