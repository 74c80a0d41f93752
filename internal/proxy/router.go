package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// maxRequestsInFlight is the maximum number of requests that are held, regardless of the memory limit. It bounds
	// the mailboxes.
	maxRequestsInFlight = 1024
	routerMailboxSize   = 4 * maxRequestsInFlight
	// endpointsTimeout is the time for which Endpoints waits for a busy router.
	endpointsTimeout = 300 * time.Millisecond
	// unarmed is the initial period of timers that are reset before their first use.
	unarmed = time.Hour
)

// Router is the goroutine that owns the balancer. It translates calls from clients, hosts and the endpoint list into
// calls of the balancer, and the balancer's decisions into calls of clients, hosts and the endpoint list. Other
// goroutines post to its mailbox. Exported methods may be called from any goroutine, except for those that must be
// called before Run.
type Router struct {
	mailbox  mailbox
	balancer *balancer.Balancer
	settings *settings.Settings
	clock    Clock
	counters *Counters
	log      *zap.Logger

	wakeTimer *time.Timer
	wakeAt    balancer.Time // time at which the balancer's timer fires; 0: no timer is set

	slots     []requestSlot // grows to the maximum number of concurrent requests
	freeSlots []int
	openIDs   map[string]struct{} // ids of the requests that have a slot
	executed  executedIDs

	hosts         []*upstreamHost          // by the balancer's index; nil if the index is free
	freeHosts     []int                    // indices of nil hosts
	hostIndex     map[string]int           // index by name
	departedHosts []*upstreamHost          // hosts that keep their index until no request can refer to it; some may be listed again
	updateCount   int                      // number of updates of the endpoint list
	addressOwners map[string]*upstreamHost // the host that is listed at an address, or the latest one, by address
	affectedHosts []*upstreamHost          // superseded or returned to service by the current update of the endpoint list

	dialer       dialer        // for upstream connections
	connIDs      atomic.Uint64 // number of the latest upstream connection
	sockets      *budget
	valueMemory  *budget // bytes of held values
	streamMemory *budget // bytes of stream buffers
	// reservedValueBytes is the value memory that long values leave to others. Otherwise a few of them would cause all other
	// requests to be shed.
	reservedValueBytes atomic.Int64

	traceLimiter *rate.Limiter

	// Optional parts; nil if absent.
	endpoints      *EndpointList
	shadow         *shadowBalancer
	zones          *zoneController
	negativeCache  *NegativeCache
	duties         *Duties
	notifyPeers    func(node string, responds bool)
	notifyExecuted func(hash uint64) // notifies the other process of a hot restart
}

// dialer opens connections. It is implemented by net.Dialer.
type dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewRouter returns a router without hosts. sockets is the maximum number of open connections to all hosts together;
// seed is the seed of the balancer's random numbers.
func NewRouter(
	config *settings.Settings, seed uint64, clock Clock, sockets int, counters *Counters, log *zap.Logger,
) *Router {
	return &Router{
		mailbox: make(mailbox, routerMailboxSize), balancer: balancer.New(clock.Now(), config.Balancer, seed),
		settings: config, clock: clock, counters: counters, log: log,
		wakeTimer: time.NewTimer(unarmed), openIDs: map[string]struct{}{}, hostIndex: map[string]int{}, addressOwners: map[string]*upstreamHost{},
		dialer:  &net.Dialer{Timeout: duration(config.Balancer.ConnectTimeout), KeepAlive: -1},
		sockets: newBudget(sockets, &counters.UpstreamOpen), valueMemory: newBudget(0, &counters.Bytes),
		streamMemory: newBudget(0, &counters.Passing), traceLimiter: newTraceLimiter(),
	}
}

// Run executes posted calls and timers until the process ends.
func (r *Router) Run() {
	for {
		select {
		case call := <-r.mailbox:
			runRecovered(r.log, r.counters, call)
		case <-r.wakeTimer.C:
			runRecovered(r.log, r.counters, r.timerFired)
		case <-r.zoneTimer():
			runRecovered(r.log, r.counters, r.tickZones)
		case <-r.shadowTimer():
			runRecovered(r.log, r.counters, r.shadowTimerFired)
		}
	}
}

// balancerCall calls a method of a balancer and returns its decisions.
type balancerCall func(b *balancer.Balancer) []balancer.Decision

// apply runs a call on the balancer and executes its decisions.
func (r *Router) apply(now balancer.Time, call balancerCall) { r.execute(r.decide(now, call)) }

// Endpoints returns the endpoints that are currently listed, or nil if the router is too busy to respond in time.
func (r *Router) Endpoints() []wire.Endpoint {
	reply := make(chan []wire.Endpoint, 1)
	if !r.mailbox.tryPost(func() { reply <- r.listedEndpoints() }) {
		return nil
	}
	select {
	case endpoints := <-reply:
		return endpoints
	case <-time.After(endpointsTimeout):
		return nil
	}
}

// FinishWithin sets the time that is left until the process ends. All held and later requests get their replies before
// then.
func (r *Router) FinishWithin(remaining time.Duration) {
	shutdownAt := r.clock.Now() + balancer.Time(remaining/tickDuration)
	r.mailbox.post(func() {
		now := r.clock.Now()
		r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.Stop(now, shutdownAt) })
	})
}

// ResizeSockets changes the maximum number of connections to hosts by a difference. If the difference is negative, idle
// connections are closed.
func (r *Router) ResizeSockets(by int) {
	r.sockets.resize(by)
	if by < 0 {
		r.mailbox.post(r.closeIdleConns)
	}
}

// SetPeerNotifier sets the function that reports to other proxies whether a host responds. The function must not block.
// SetPeerNotifier must be called before Run.
func (r *Router) SetPeerNotifier(notify func(node string, responds bool)) { r.notifyPeers = notify }

// ReceivePeerReport handles another proxy's report on whether a host responds.
func (r *Router) ReceivePeerReport(node string, responds bool) {
	r.mailbox.post(func() {
		index, ok := r.hostIndex[node]
		if !ok {
			return
		}
		r.counters.PeerSights.Add(1)
		now := r.clock.Now()
		r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.PeerReport(now, index, responds) })
	})
}

// SetQuotaShare sets this proxy's fraction, from 0 to 1, of the quotas of all proxies together.
func (r *Router) SetQuotaShare(share float64) {
	r.mailbox.post(func() {
		now := r.clock.Now()
		r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.SetQuotaShare(now, share) })
	})
}

// pollFailed reports to the balancer that a poll of the endpoint list has failed.
func (r *Router) pollFailed() {
	now := r.clock.Now()
	r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.EndpointListFailed(now) })
}

// closeIdleConns closes the idle connections to all hosts, when an attempt lacks a socket or there are fewer sockets.
func (r *Router) closeIdleConns() {
	for _, h := range r.hosts {
		if h != nil {
			h.releaseIdleConns()
		}
	}
}
