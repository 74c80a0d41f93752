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

// Handler receives what the agent learns from peers and tells it about this proxy's load. All methods are called from the
// agent's event loop, which may be kept waiting; they must not wait for the agent in turn.
type Handler interface {
	// EndpointChanged reports an endpoint that the discovery service of a peer listed, changed or removed at that index of its
	// list.
	EndpointChanged(index int64, endpoint wire.Endpoint)
	// HealthReported reports that a peer found an endpoint unresponsive, or responsive again.
	HealthReported(endpoint string, responsive bool)
	// QuotaShareChanged sets the fraction, 0 to 1, of the cluster-wide limits that this proxy may use.
	QuotaShareChanged(fraction float64)
	// RequestCount returns the number of requests from clients since the start.
	RequestCount() int64
	// WriteRowCount returns the number of rows about written keys that were published since the start.
	WriteRowCount() int64
	// MembersUpdated reports all known proxies, some times a second, and whether this proxy still catches up with their state.
	MembersUpdated(proxies []replica.Member, catchingUp bool)
	// RowChanged reports a new or changed row of a kind that this package does not interpret. It is valid during the call.
	RowChanged(row *replica.Row)
}

// Agent is the gossip agent of one proxy; see the package comment. It is made by Start.
type Agent struct {
	Counters

	config  *Config
	name    string // of this proxy
	handler Handler
	logger  *zap.Logger
	status  atomic.Pointer[Status]

	// Used by the event loop alone.
	store     *replica.Store
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
	handler Handler, logger *zap.Logger,
) (*Agent, error) {
	ctx, cancel := context.WithCancel(context.Background())
	startedAt := time.Now()
	a := &Agent{
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
	a.store = replica.New(0, replica.Settings{
		Name:           name,
		Incarnation:    incarnation,
		FleetSize:      proxies,
		Address:        config.Advertise,
		Zone:           zone,
		TakeoverDelay:  replica.Time(config.TakeoverDelaySeconds * float64(replica.Second)),
		QuotaFloor:     config.QuotaFloor,
		ObservationTTL: healthReportTTL,
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
func (a *Agent) startBackground() {
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
		started:    &a.ConnectProbes,
		background: &a.background,
	}
	for range senderWorkers {
		a.background.Go(func() { a.sender.run(a.ctx) })
	}
	a.updateStatus()
	a.background.Go(a.run)
}

// now returns the time on the store's clock.
func (a *Agent) now() replica.Time {
	return replica.Time(time.Since(a.startedAt) / storeTimeUnit)
}

// PublishEndpoints publishes endpoints of this proxy's discovery service at that index of its list: the complete list, or those
// that changed. It waits for space in the mailbox. It does nothing if the peers file turns the exchange of endpoint
// lists off.
func (a *Agent) PublishEndpoints(index int64, complete bool, endpoints []wire.Endpoint) {
	if !a.config.sharesEndpoints() {
		return
	}
	rows := a.endpointRows(endpoints)
	a.mailbox.post(func() { a.apply(a.store.ApplyEndpointList(a.now(), complete, index, rows)) })
}

// PublishHealth publishes that this proxy found an endpoint unresponsive, or responsive again. It does not wait.
func (a *Agent) PublishHealth(endpoint string, responsive bool) {
	a.mailbox.offer(func() { a.apply(a.store.RecordHealth(a.now(), endpoint, responsive)) })
}

// PublishOwnRow publishes a row that only this proxy writes, which expires after the time to live. It does not wait.
func (a *Agent) PublishOwnRow(kind replica.Kind, key string, timeToLive replica.Time, body []byte) {
	a.mailbox.offer(func() { a.apply(a.store.WriteOwn(a.now(), kind, key, timeToLive, body)) })
}

// PublishSharedRow publishes a row that every proxy may write. It does not wait.
func (a *Agent) PublishSharedRow(row replica.Row) {
	a.mailbox.offer(func() { a.apply(a.store.WriteShared(a.now(), row)) })
}

// SetReplaced sets whether a successor process of the same name takes over when this one closes, in which case Close does not
// announce the departure of the proxy. It waits for space in the mailbox.
func (a *Agent) SetReplaced(replaced bool) {
	a.mailbox.post(func() { a.store.SetYielded(replaced) })
}

// Close announces the departure of this process, closes the sockets, ends all goroutines and waits for them. Calls
// after the first have no effect.
func (a *Agent) Close() {
	announced := make(chan struct{})
	a.mailbox.post(func() {
		a.apply(a.store.AnnounceDeparture(a.now()))
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
