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

// leaveTimeout is the maximum time for which Close waits until the queued broadcasts have been sent. The departure of this
// process is one of them.
const leaveTimeout = 300 * time.Millisecond

// storeTimeUnit is the duration of one unit of replica.Time.
const storeTimeUnit = time.Second / time.Duration(replica.Second)

// Handler handles changes that the agent receives from peers and returns the load of this proxy. All methods are called
// from the agent's event loop. They may block the loop for a while, but must not wait for the agent, as that would
// deadlock.
type Handler interface {
	// EndpointChanged handles an endpoint that a peer's discovery service added, changed or removed in the version of the
	// endpoint list with the given index.
	EndpointChanged(index int64, endpoint wire.Endpoint)
	// HealthReported handles a peer's observation that an endpoint does not respond, or that it responds again.
	HealthReported(endpoint string, responds bool)
	// QuotaShareChanged sets the fraction, 0 to 1, of the cluster-wide limits that this proxy may use.
	QuotaShareChanged(fraction float64)
	// RequestCount returns the number of requests from clients since the start.
	RequestCount() int64
	// WriteRowCount returns the number of rows about written keys that were published since the start.
	WriteRowCount() int64
	// MembersUpdated handles the list of all known proxies, and whether this proxy is still catching up with their state. It
	// is called several times per second.
	MembersUpdated(proxies []replica.Member, catchingUp bool)
	// RowChanged handles a new or changed row of a kind that this package does not interpret. The row is valid only during
	// the call.
	RowChanged(row *replica.Row)
}

// Agent is the gossip agent of one proxy, as described in the package comment. Start returns a running agent.
type Agent struct {
	Counters

	config  *Config
	name    string // name of this proxy
	handler Handler
	logger  *zap.Logger
	status  atomic.Pointer[Status]

	// Used only by the event loop.
	store     *replica.Store
	startedAt time.Time // time zero of the store's clock
	demand    rateMeter

	mailbox     mailbox
	members     *memberlist.Memberlist
	memberCount atomic.Int64 // number of memberlist's members at the latest join check
	broadcasts  *broadcastQueues
	sender      *sender
	joiner      *joiner
	prober      *prober

	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	background sync.WaitGroup // the event loop, the sender's workers, join attempts and connect probes
}

// Start binds the listen address and starts the agent of the proxy with the given name. The parameter proxies is the
// configured number of proxies in the cluster, this one included. A health observation that this proxy publishes expires
// after observationTTL. The seed makes the random choices of the replica reproducible. Start fails if an address is invalid
// or can't be bound, or if memberlist can't be started; the error is a single line that names the failed step.
func Start(
	config *Config, name, zone string, proxies int, observationTTL replica.Time, seed uint64,
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
		ObservationTTL: observationTTL,
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

// startBackground creates the parts that use memberlist and starts the goroutines that Close waits for.
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

// now returns the current time on the store's clock.
func (a *Agent) now() replica.Time {
	return replica.Time(time.Since(a.startedAt) / storeTimeUnit)
}

// PublishEndpoints publishes endpoints from this proxy's discovery service, which sent them with the given index of the
// endpoint list. If complete is true, endpoints is the complete list, otherwise only the changed endpoints.
// PublishEndpoints waits for space in the mailbox. It does nothing if the peers file disables the exchange of endpoint
// lists.
func (a *Agent) PublishEndpoints(index int64, complete bool, endpoints []wire.Endpoint) {
	if !a.config.sharesEndpoints() {
		return
	}
	rows := a.endpointRows(endpoints)
	a.mailbox.post(func() { a.apply(a.store.ApplyEndpointList(a.now(), complete, index, rows)) })
}

// PublishHealth publishes this proxy's observation that an endpoint does not respond, or that it responds again. It does
// not wait: if the mailbox is full, the call is dropped and counted.
func (a *Agent) PublishHealth(endpoint string, responds bool) {
	a.mailbox.offer(func() { a.apply(a.store.RecordHealth(a.now(), endpoint, responds)) })
}

// PublishOwnRow publishes a row that only this proxy writes and that expires after the time to live. It does not wait: if
// the mailbox is full, the call is dropped and counted.
func (a *Agent) PublishOwnRow(kind replica.Kind, key string, timeToLive replica.Time, body []byte) {
	a.mailbox.offer(func() { a.apply(a.store.WriteOwn(a.now(), kind, key, timeToLive, body)) })
}

// PublishSharedRow publishes a row that every proxy may write. It does not wait: if the mailbox is full, the call is
// dropped and counted.
func (a *Agent) PublishSharedRow(row replica.Row) {
	a.mailbox.offer(func() { a.apply(a.store.WriteShared(a.now(), row)) })
}

// SetReplaced sets whether a successor process with the same name takes over when this process closes its agent. If so,
// Close does not announce a departure of the proxy. SetReplaced waits for space in the mailbox.
func (a *Agent) SetReplaced(replaced bool) {
	a.mailbox.post(func() { a.store.SetYielded(replaced) })
}

// Close announces the end of this process to peers, closes the sockets, stops all goroutines and waits until they have
// ended. Calls after the first have no effect.
func (a *Agent) Close() {
	announced := make(chan struct{})
	a.mailbox.post(func() {
		a.apply(a.store.AnnounceDeparture(a.now()))
		a.updateStatus()
		close(announced)
	})
	select {
	case <-announced:
	case <-a.ctx.Done():
		return // already closed
	}
	_ = a.members.Leave(leaveTimeout) // peers not reached before the timeout detect the departure by failure detection
	if err := a.members.Shutdown(); err != nil {
		a.logger.Warn("peers: memberlist shutdown failed", zap.Error(err))
	}
	a.cancel()
	a.background.Wait()
}
