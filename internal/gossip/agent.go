package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"woodproxy/internal/wire"
	"woodproxy/replica"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// leaveTimeout bounds how long Close waits until queued broadcasts, the departure among them, have been sent.
const leaveTimeout = 300 * time.Millisecond

// storeTimeUnit is the unit of replica.Time.
const storeTimeUnit = time.Second / time.Duration(replica.Second)

// Proxy receives what the agent learns from peers and tells it about this proxy's load. All methods are called from the
// agent's event loop, which may be kept waiting; they must not wait for the agent in turn.
type Proxy interface {
	// Hear reports an endpoint that the discovery service of a peer listed, changed or removed at that index of its
	// list.
	Hear(index int64, endpoint wire.Target)
	// Heard reports that a peer found an endpoint unresponsive, or responsive again.
	Heard(endpoint string, responsive bool)
	// Share sets the fraction, 0 to 1, of the cluster-wide limits that this proxy may use.
	Share(fraction float64)
	// Demand returns the number of requests from clients since the start.
	Demand() int64
	// Writes returns the number of rows about written keys that were published since the start.
	Writes() int64
	// Fleet reports all known proxies, some times a second, and whether this proxy still catches up with their state.
	Fleet(proxies []replica.Member, catchingUp bool)
	// Row reports a new or changed row of a kind that this package does not interpret. It is valid during the call.
	Row(row *replica.Row)
}

// Talker is the gossip agent of one proxy; see the package comment. It is made by Start.
type Talker struct {
	Counters

	config  *Config
	name    string // of this proxy
	handler Proxy
	logger  *zap.Logger
	status  atomic.Pointer[Shown]

	// Used by the event loop alone.
	store     *replica.Instance
	startedAt time.Time // origin of the store's clock
	demand    rateMeter

	mailbox     mailbox
	members     *memberlist.Memberlist
	memberCount atomic.Int64 // of memberlist's members, as of the latest join check
	broadcasts  *broadcastQueues
	sender      *sender
	joiner      *joiner
	prober      *prober

	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	background sync.WaitGroup // the event loop, the sender's workers, join attempts and connect probes
}

// Start binds the listen address and starts the agent of the proxy of that name. Proxies is the configured number of
// proxies in the cluster, this one included; healthReportTTL is how long a peer's report on an endpoint's health stays
// valid; seed makes the choice of peers reproducible. The error is a single line that names the failed step.
func Start(
	config *Config, name, zone string, proxies int, healthReportTTL replica.Time, seed uint64,
	handler Proxy, logger *zap.Logger,
) (*Talker, error) {
	ctx, cancel := context.WithCancel(context.Background())
	startedAt := time.Now()
	a := &Talker{
		config:    config,
		name:      name,
		handler:   handler,
		logger:    logger,
		startedAt: startedAt,
		demand:    rateMeter{sampledAt: startedAt},
		ctx:       ctx,
		cancel:    cancel,
	}
	incarnation := startedAt.UnixMilli()
	a.store = replica.New(0, replica.Terms{
		Me:          name,
		Incarnation: incarnation,
		Proxies:     proxies,
		Address:     config.Advertise,
		Zone:        zone,
		Hold:        replica.Time(config.Hold * float64(replica.Second)),
		Floor:       config.Floor,
		SightLife:   healthReportTTL,
	}, seed)
	a.mailbox = newMailbox(ctx.Done(), &a.Dropped)
	a.broadcasts = newBroadcastQueues(func() int { return int(a.memberCount.Load()) })
	members, err := createMemberlist(config, nodeName(name, incarnation), &delegate{a}, logger, &a.Counters)
	if err != nil {
		cancel()
		return nil, err
	}
	a.members = members
	a.startBackground()
	return a, nil
}

// startBackground makes the parts that need the memberlist and starts the goroutines that Close waits for.
func (a *Talker) startBackground() {
	a.sender = newSender(a.members, &a.Dropped)
	a.joiner = &joiner{
		config:      a.config,
		logger:      a.logger,
		members:     a.members,
		memberCount: &a.memberCount,
		background:  &a.background,
	}
	a.prober = &prober{
		source:     listenIP(a.config),
		started:    &a.Probes,
		background: &a.background,
	}
	for range senderWorkers {
		a.background.Go(func() { a.sender.run(a.ctx) })
	}
	a.updateStatus()
	a.background.Go(a.run)
}

// now returns the time on the store's clock.
func (a *Talker) now() replica.Time {
	return replica.Time(time.Since(a.startedAt) / storeTimeUnit)
}

// Listed publishes endpoints of this proxy's discovery service at that index of its list: the complete list, or those
// that changed. It waits for space in the mailbox. It does nothing if the peers file turns the exchange of endpoint
// lists off.
func (a *Talker) Listed(index int64, complete bool, endpoints []wire.Target) {
	if !a.config.sharesEndpoints() {
		return
	}
	rows := a.endpointRows(endpoints)
	a.mailbox.post(func() { a.apply(a.store.Listed(a.now(), complete, index, rows)) })
}

// Tell publishes that this proxy found an endpoint unresponsive, or responsive again. It does not wait.
func (a *Talker) Tell(endpoint string, responsive bool) {
	a.mailbox.offer(func() { a.apply(a.store.Saw(a.now(), endpoint, responsive)) })
}

// Speak publishes a row that only this proxy writes, which expires after the time to live. It does not wait.
func (a *Talker) Speak(kind replica.Kind, key string, timeToLive replica.Time, body []byte) {
	a.mailbox.offer(func() { a.apply(a.store.Speak(a.now(), kind, key, timeToLive, body)) })
}

// Put publishes a row that every proxy may write. It does not wait.
func (a *Talker) Put(row replica.Row) {
	a.mailbox.offer(func() { a.apply(a.store.Put(a.now(), row)) })
}

// Yield sets whether a successor process of the same name takes over when this one closes, in which case Close does not
// announce the departure of the proxy. It waits for space in the mailbox.
func (a *Talker) Yield(replaced bool) {
	a.mailbox.post(func() { a.store.Yield(replaced) })
}

// Close announces the departure of this process, closes the sockets, ends all goroutines and waits for them. Calls
// after the first have no effect.
func (a *Talker) Close() {
	announced := make(chan struct{})
	a.mailbox.post(func() {
		a.apply(a.store.Leave(a.now()))
		close(announced)
	})
	select {
	case <-announced:
	case <-a.ctx.Done():
		return // closed before
	}
	_ = a.members.Leave(leaveTimeout) // peers that were not reached in time find out by failure detection
	if err := a.members.Shutdown(); err != nil {
		a.logger.Warn("peers: memberlist shutdown failed", zap.Error(err))
	}
	a.cancel()
	a.background.Wait()
}
