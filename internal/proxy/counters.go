package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"

	"woodproxy/balancer"
)

// Counters count what the proxy takes in, sends and answers since its start.
type Counters struct {
	Clients, ClientsOpen     atomic.Int64 // connections, in all and now
	Exchanges, Held, Crowded atomic.Int64 // taken; with a place now; shed for want of one
	Bytes, Passing           atomic.Int64 // of values that are held now, for servers and for clients; that pass through
	Flows, Broken            atomic.Int64 // values that were passed on piece by piece, and that broke off amid that
	Completed, Shed, Errored atomic.Int64 // final answers
	Absent                   atomic.Int64 // of the completed ones, such that the origin has no such key
	Left                     atomic.Int64 // clients gone before their answer
	Tries, Cancelled, Copies atomic.Int64 // upstream tries, those called off, and those sent while another of their exchange was out
	Ends                     [balancer.Lacking + 1]atomic.Int64
	Dials, UpstreamOpen      atomic.Int64 // connections to peers, in all and now
	Lists, Watches           atomic.Int64 // lists and changes from discovery; watches answered
	BadClient, BadPeer       atomic.Int64 // connections ended for bad bytes
	Taken                    atomic.Int64 // exchanges with the id of another that is open
	Drains                   atomic.Int64 // calls that sent clients away
	PeerLists, PeerSights    atomic.Int64 // changes of the list, and nodes gone silent or answering, that peers told of
	ZonesPassed, ZonesHasty  atomic.Int64 // zones passed by on own tries alone, and those of them that answered the first trials
	Panics                   atomic.Int64
	// where watched terms would have: decided alike; chosen another node; held what was sent or the other way round;
	// given up what was not; not given up what was; given it the other final answer; told peers of a node
	WatchSame, WatchNode, WatchHeld, WatchGivenUp, WatchKept, WatchAnswer, WatchTold atomic.Int64
}

// endings names how tries end, in the module's order.
var outcomeCounterNames = [balancer.Lacking + 1]string{
	"EndCompleted", "EndFault", "EndNoRoom", "EndSilent", "EndUnreachable",
	"EndCut", "EndUndone", "EndUnsent", "EndLacking",
}

// Each calls f with each counter's name and value.
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

// String prints each counter with its name, a line each.
func (c *Counters) String() string {
	var s strings.Builder
	c.Each(func(name string, value int64) { fmt.Fprintf(&s, "%s %d\n", name, value) })
	return s.String()
}
