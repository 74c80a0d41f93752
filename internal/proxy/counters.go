package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
)

// Counters count what the proxy takes in, sends and answers since its start. Each is printed and exported under the
// name of its field, which operators know. Any goroutine may use them.
type Counters struct {
	Clients     atomic.Int64 // client connections that were accepted
	ClientsOpen atomic.Int64 // and those that are open now

	Exchanges atomic.Int64 // requests that were read
	Held      atomic.Int64 // requests that are held now
	Crowded   atomic.Int64 // requests that were shed for want of capacity
	Taken     atomic.Int64 // requests that were rejected, since another with their id is held
	Left      atomic.Int64 // requests whose client has gone before the reply

	Bytes   atomic.Int64 // of values that are held now, for upstreams and for clients
	Passing atomic.Int64 // of streams' buffers now
	Flows   atomic.Int64 // values that were streamed
	Broken  atomic.Int64 // streams that broke off

	Completed atomic.Int64 // final replies with what the upstream has answered
	Shed      atomic.Int64 // final replies that the request was shed
	Errored   atomic.Int64 // final replies that the request has failed
	Absent    atomic.Int64 // of the completed ones, those that the origin has no such key

	Tries     atomic.Int64                         // attempts
	Cancelled atomic.Int64                         // attempts that were cancelled
	Copies    atomic.Int64                         // attempts that began while another of their request was in flight
	Ends      [balancer.CacheMiss + 1]atomic.Int64 // ended attempts, by outcome

	Dials        atomic.Int64 // connections to hosts that were dialed
	UpstreamOpen atomic.Int64 // and those that are open now

	Lists      atomic.Int64 // endpoint lists and changes from discovery
	Watches    atomic.Int64 // watches that discovery has answered
	PeerLists  atomic.Int64 // changes of the endpoint list that other proxies have told of
	PeerSights atomic.Int64 // reports of other proxies on whether a host answers

	BadClient atomic.Int64 // client connections that were closed on bad input
	BadPeer   atomic.Int64 // connections to hosts and discovery that were closed on bad input
	Drains    atomic.Int64 // calls that took the proxy out of service
	Panics    atomic.Int64 // that were recovered

	ZonesPassed atomic.Int64 // zones that were evacuated on this proxy's own evidence alone
	ZonesHasty  atomic.Int64 // and those of them that answered the first health checks: false positives

	Reasons       [balancer.NumReasons]atomic.Int64   // attempts, by why they are sent
	Rejections    [balancer.NumReasons]atomic.Int64   // final replies that the request was shed or has failed, by reason
	Refusals      [lifecycle.NumRefusals]atomic.Int64 // attempts that were refused at the last moment, by reason
	TracesOmitted atomic.Int64                        // requests whose trace was not logged, since there are too many

	Closes     [numCloseReasons]atomic.Int64 // client connections that ended, by reason
	Invariants *invariant.Checker            // nil: nothing is checked

	LocalErrors LocalErrorCounter // system calls that failed for a reason of this machine

	WallClockSteps     atomic.Int64 // times that the wall clock was seen to step
	StateWriteFailures atomic.Int64 // writes of the state file that failed

	// Where a shadow balancer would have decided the same, and where it would have
	WatchSame    atomic.Int64
	WatchNode    atomic.Int64 // sent to another host
	WatchHeld    atomic.Int64 // waited where an attempt was sent, or the other way round
	WatchGivenUp atomic.Int64 // ended a request that went on
	WatchKept    atomic.Int64 // kept a request that was ended
	WatchAnswer  atomic.Int64 // given the other final reply
	WatchTold    atomic.Int64 // notified other proxies of a host
}

// outcomeCounterNames are the names of Ends, in the order of the balancer's outcomes.
var outcomeCounterNames = [balancer.CacheMiss + 1]string{
	"EndCompleted", "EndFault", "EndNoRoom", "EndSilent", "EndUnreachable",
	"EndCut", "EndUndone", "EndUnsent", "EndLacking",
}

// Each calls f with each counter's name and value, in a fixed order.
func (c *Counters) Each(f func(name string, value int64)) {
	for _, n := range []struct {
		name string
		at   *atomic.Int64
	}{
		{"Clients", &c.Clients},
		{"ClientsOpen", &c.ClientsOpen},
		{"Exchanges", &c.Exchanges},
		{"Held", &c.Held},
		{"Crowded", &c.Crowded},
		{"Bytes", &c.Bytes},
		{"Passing", &c.Passing},
		{"Flows", &c.Flows},
		{"Broken", &c.Broken},
		{"Completed", &c.Completed},
		{"Shed", &c.Shed},
		{"Errored", &c.Errored},
		{"Absent", &c.Absent},
		{"Left", &c.Left},
		{"Tries", &c.Tries},
		{"Cancelled", &c.Cancelled},
		{"Copies", &c.Copies},
		{"Dials", &c.Dials},
		{"UpstreamOpen", &c.UpstreamOpen},
		{"Lists", &c.Lists},
		{"Watches", &c.Watches},
		{"BadClient", &c.BadClient},
		{"BadPeer", &c.BadPeer},
		{"Taken", &c.Taken},
		{"Drains", &c.Drains},
		{"PeerLists", &c.PeerLists},
		{"PeerSights", &c.PeerSights},
		{"ZonesPassed", &c.ZonesPassed},
		{"ZonesHasty", &c.ZonesHasty},
		{"Panics", &c.Panics},
		{"WatchSame", &c.WatchSame},
		{"WatchNode", &c.WatchNode},
		{"WatchHeld", &c.WatchHeld},
		{"WatchGivenUp", &c.WatchGivenUp},
		{"WatchKept", &c.WatchKept},
		{"WatchAnswer", &c.WatchAnswer},
		{"WatchTold", &c.WatchTold},
	} {
		f(n.name, n.at.Load())
	}
	for i := range c.Ends {
		f(outcomeCounterNames[i], c.Ends[i].Load())
	}
}

// String returns each counter with its name, a line each, as the INFO command prints them.
func (c *Counters) String() string {
	var s strings.Builder
	c.Each(func(name string, value int64) { fmt.Fprintf(&s, "%s %d\n", name, value) })
	return s.String()
}
