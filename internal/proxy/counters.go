package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
)

// Counters count the connections, requests, attempts and replies of the proxy since its start. Each counter is printed
// and exported under the name of its field, which operators rely on. Any goroutine may use them.
type Counters struct {
	Clients     atomic.Int64 // accepted client connections
	ClientsOpen atomic.Int64 // currently open client connections

	Exchanges atomic.Int64 // requests that were read
	Held      atomic.Int64 // requests that are currently held
	Crowded   atomic.Int64 // requests that were shed for lack of capacity in the proxy
	Taken     atomic.Int64 // requests that were rejected because another request with the same id is held
	Left      atomic.Int64 // requests whose client closed its connection before the reply

	Bytes   atomic.Int64 // bytes of values that are currently held for upstreams and clients
	Passing atomic.Int64 // bytes that are currently in use by the buffers of streams
	Flows   atomic.Int64 // values that were streamed
	Broken  atomic.Int64 // streams that ended early

	Completed atomic.Int64 // final replies that carry the upstream's response
	Shed      atomic.Int64 // final replies that report the request as shed
	Errored   atomic.Int64 // final replies that report the request as failed
	Absent    atomic.Int64 // completed requests whose key is absent at the origin

	Tries     atomic.Int64                         // attempts
	Cancelled atomic.Int64                         // attempts that were canceled
	Copies    atomic.Int64                         // attempts that began while another one of the same request was in flight
	Ends      [balancer.CacheMiss + 1]atomic.Int64 // ended attempts, by outcome

	Dials        atomic.Int64 // dialed connections to hosts
	UpstreamOpen atomic.Int64 // currently open connections to hosts

	Lists   atomic.Int64 // endpoint lists and list changes from discovery
	Watches atomic.Int64 // watches to which discovery has responded
	// WatchesLate counts the watches that had no response in time and were kept open beside another one.
	WatchesLate      atomic.Int64
	WatchesAbandoned atomic.Int64 // late watches that were closed because too many were open
	PeerLists        atomic.Int64 // endpoint list changes from other proxies
	PeerSights       atomic.Int64 // reports from other proxies on whether a host responds

	BadClient atomic.Int64 // client connections that were closed on bad input
	BadPeer   atomic.Int64 // connections to hosts and discovery that were closed on bad input
	Surplus   surplusCounters
	// SurplusDelay is the histogram of the time from the end of the last response on a connection to a surplus response.
	SurplusDelay    DelayHistogram
	HostsDistrusted atomic.Int64 // times that a host became distrusted after a surplus response
	Unconfirmed     atomic.Int64 // rejections and misses on used connections that were taken for attempts that may have run
	Unattributed    atomic.Int64 // responses on used connections of distrusted hosts, which were taken for no request's
	ResponsesCutOff atomic.Int64 // responses that the proxy gave up after it had read a part of them
	HostsSuperseded atomic.Int64 // hosts that were superseded by another one at their address
	ReadsPaused     atomic.Int64 // pauses in the reading of client connections whose commands come at too high a rate
	// QueueDelay is the histogram of the time from the last byte of a request to its handling by the router.
	QueueDelay DelayHistogram
	Drains     atomic.Int64 // calls that took the proxy out of service
	Panics     atomic.Int64 // recovered panics

	ZonesPassed atomic.Int64 // zones that were evacuated on the evidence of this proxy alone
	ZonesHasty  atomic.Int64 // those among ZonesPassed that responded to the first health checks: false positives

	Reasons       [balancer.NumReasons]atomic.Int64   // attempts, by the reason why they are sent
	Rejections    [balancer.NumReasons]atomic.Int64   // final replies that report a request as shed or failed, by reason
	Refusals      [lifecycle.NumRefusals]atomic.Int64 // attempts that were refused right before they were sent, by reason
	TracesOmitted atomic.Int64                        // requests whose trace was not logged because of the rate limit

	Closes     [numCloseReasons]atomic.Int64 // client connections that ended, by reason
	Invariants *invariant.Checker            // nil: no invariant is checked

	LocalErrors LocalErrorCounter // system calls that failed because of this machine

	WallClockSteps     atomic.Int64 // detected steps of the wall clock
	StateWriteFailures atomic.Int64 // failed writes of the state file

	// Decisions of the shadow balancer, compared with those of the active balancer.
	WatchSame    atomic.Int64 // the same decision
	WatchNode    atomic.Int64 // an attempt to another host
	WatchHeld    atomic.Int64 // waiting where the active balancer sent an attempt, or the reverse
	WatchGivenUp atomic.Int64 // a final reply to a request that the active balancer continued
	WatchKept    atomic.Int64 // continuing a request to which the active balancer sent the final reply
	WatchAnswer  atomic.Int64 // another final reply
	WatchTold    atomic.Int64 // notifications of other proxies about a host, which are not sent
}

// outcomeCounterNames are the printed names of the counters in Ends, in the order of the balancer's outcomes.
var outcomeCounterNames = [balancer.CacheMiss + 1]string{
	"EndCompleted", "EndFault", "EndNoRoom", "EndSilent", "EndUnreachable",
	"EndCut", "EndUndone", "EndUnsent", "EndLacking",
}

// Each calls f with the name and value of each counter, in a fixed order.
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
		{"WatchesLate", &c.WatchesLate},
		{"WatchesAbandoned", &c.WatchesAbandoned},
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

// String returns one line with name and value per counter, as the INFO command prints them.
func (c *Counters) String() string {
	var s strings.Builder
	c.Each(func(name string, value int64) { fmt.Fprintf(&s, "%s %d\n", name, value) })
	return s.String()
}
