// Package gossip connects the replicated state of package replica with the other proxies of the cluster. Membership,
// failure detection and the transport of messages are those of hashicorp/memberlist; which rows are sent to whom is
// decided by replica.Store.
//
// # Parts
//
// An Agent is the agent of one proxy. Its event loop is the only goroutine that uses the replica.Store: calls from
// outside and messages from peers are put into a mailbox as functions and run there in the order in which they came.
// What the instance decides is carried out by the loop as well:
//
//   - rows for all proxies go into the broadcast queues, from which memberlist piggybacks them on its gossip packets;
//   - messages to one proxy are sent as a packet or, if they are long or have to arrive, on a TCP stream by a sender
//     worker;
//   - connect probes, which find out whether the process of a silent proxy has ended, run in goroutines of their own;
//   - changed rows are handed to the Handler, the handler of the program that embeds this package.
//
// # Concurrency
//
// Methods of Agent may be called from any goroutine, except that no method of the Handler may call Close, PublishEndpoints or
// SetReplaced. Each method says whether it waits for space in the mailbox or drops the call. The methods of the Handler are
// called from the event loop and must not wait for the Agent. Close ends all goroutines and waits for them.
package gossip
