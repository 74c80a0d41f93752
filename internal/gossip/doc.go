// Package gossip replicates the state of package replica between the proxies of a cluster over UDP and TCP. The library
// hashicorp/memberlist provides membership, failure detection and the transport of messages. The replica.Store decides
// which rows are sent to which proxies.
//
// # Parts
//
// An Agent is the gossip agent of one proxy. Its event loop is the only goroutine that uses the replica.Store. Method calls
// and messages from peers are put into a mailbox as functions, which the event loop runs in the order of their arrival. The
// event loop also carries out the decisions that the store returns:
//
//   - rows for all proxies go into the broadcast queues, from which memberlist piggybacks them on its gossip packets;
//   - a message to a single proxy is sent as a UDP packet or, if it is long or needs reliable delivery, by a sender worker
//     on a TCP stream;
//   - connect probes, which detect whether the process of a silent proxy has ended, run in separate goroutines;
//   - changed rows are passed to the Handler, which the program that uses this package implements.
//
// # Concurrency
//
// The methods of Agent may be called from any goroutine, except that methods of the Handler must not call Close,
// PublishEndpoints or SetReplaced. The documentation of each method says whether it waits for space in the mailbox or drops
// the call. The methods of the Handler are called from the event loop and must not wait for the Agent. Close stops all
// goroutines and waits until they have ended.
package gossip
