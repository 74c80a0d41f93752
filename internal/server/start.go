package server

import (
	"context"
	"net"
	"os"
	"time"

	"woodproxy/internal/admin"
	"woodproxy/internal/hotrestart"
	"woodproxy/internal/proxy"
	"woodproxy/internal/wire"
	"woodproxy/replica"

	"go.uber.org/zap"
)

// discoveryWait is the maximum time at the start for which clients wait for the endpoint list from discovery. After that
// the last known list is used.
const discoveryWait = time.Second

// server is one running proxy process. Its parts are created by build in the order of the fields, and do not change after
// that.
type server struct {
	config *Config // configuration at the start; reloads do not change it
	log    *zap.Logger

	predecessor       *hotrestart.Predecessor // nil: there is no predecessor
	predecessorExited chan struct{}           // closed when the predecessor has exited; nil: there is none
	counters          *proxy.Counters
	router            *proxy.Router
	endpoints         *proxy.EndpointList
	gossip            *gossipAdapter
	clientListener    *proxy.Listener
	admin             *adminService
	adminServer       *admin.Server    // nil: no admin API
	recovery          *recoveryTracker // nil: recovery is not tracked
	resources         *resourceBudget
	successors        *hotrestart.Server

	ctx    context.Context // canceled when Serve returns
	cancel context.CancelFunc

	inheritedList bool // the endpoint list is inherited from the predecessor, and up to date
}

// Signals are the channels for the signals to the process. Each kind has a channel of its own, so that a pending signal of
// one kind does not delay another. A channel may be nil.
type Signals struct {
	Stop        <-chan os.Signal // requests to drain clients and exit
	Reload      <-chan os.Signal // requests to read and apply the configuration again
	LogCounters <-chan os.Signal // requests to log the counters
}

// Serve runs the proxy until the signal to stop, and returns after clients were drained. A reload applies the configuration
// that reread returns; an error of reread is logged and changes nothing. Serve returns an error if the proxy could not
// start.
func Serve(config *Config, reread func() (*Config, error), log *zap.Logger, signals Signals) error {
	s, err := newServer(config, log)
	if err != nil {
		return err
	}
	defer s.closeAdmin()
	defer s.cancel()
	s.run()
	if s.recovery != nil {
		defer s.recovery.stop()
	}
	go s.openForClients() // a signal to stop may arrive meanwhile
	latest := s.handleSignals(reread, signals)
	s.shutDown(latest)
	return nil
}

// newServer opens the listener and creates all parts of the proxy. It starts gossip, the admin API and the actors of the
// negative cache and the duties. The parts that serve clients are started by run.
func newServer(config *Config, log *zap.Logger) (*server, error) {
	// This comes before the listener is inherited: if this process can't start, the predecessor continues to serve.
	if err := retryStart(func() error { return CheckManagementAddress(config.Management) }); err != nil {
		return nil, err
	}
	listener, predecessor, err := openListener(config, log)
	if err != nil {
		return nil, err
	}
	s := &server{config: config, log: log, predecessor: predecessor, counters: &proxy.Counters{Invariants: newInvariantChecker(log)}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.build(listener); err != nil {
		s.cancel()
		s.closeAdmin()
		_ = listener.Close() // the first error is the one to report
		if predecessor != nil {
			predecessor.Disconnect()
		}
		return nil, err
	}
	return s, nil
}

// build creates the parts of the server for the client listener.
func (s *server) build(listener *net.TCPListener) error {
	sockets := divideSockets(s.config.Sockets)
	s.buildRouter(sockets)
	restored := restoreState(s.config, s.log)
	s.buildEndpoints(restored.endpoints)
	s.buildGossip()
	s.clientListener = proxy.NewListener(listener, s.router, s.config.MemoryMB, s.counters, s.log)
	if s.config.StateStore != nil || s.config.Gossip != nil {
		s.recovery = newRecoveryTracker(s, restored)
	}
	if err := s.buildAdmin(); err != nil {
		return err
	}
	s.resources = &resourceBudget{
		sockets:        sockets,
		clientListener: s.clientListener,
		router:         s.router,
		limitsRuntime:  s.config.LimitRuntime,
		cores:          s.config.Cores,
		memoryMB:       s.config.MemoryMB,
	}
	s.resources.update(func(b *resourceBudget) { b.hasPredecessor = s.predecessor != nil })
	if s.predecessor == nil { // otherwise the gossip address is in use until the predecessor has exited
		if err := retryStart(s.gossip.start); err != nil {
			return err
		}
	}
	s.successors = s.offerListener(listener)
	s.exchangeExecuted()
	return nil
}

func (s *server) buildRouter(sockets socketBudget) {
	s.router = proxy.NewRouter(s.config.Settings, s.config.Seed, proxy.NewClock(), sockets.upstream, s.counters, s.log)
	if s.config.NotificationsWithoutGossip {
		s.log.Warn("limits.may-tell: no gossip file is named; no notifications are sent")
	}
	if s.config.ShadowSettings != nil {
		s.router.EnableShadow(s.config.ShadowSettings, s.config.Seed)
		s.log.Info("shadow settings are evaluated; decisions that differ are counted and not applied")
	}
}

// buildEndpoints creates the endpoint list. It starts with the list of the predecessor, or with the known list if none is
// inherited.
func (s *server) buildEndpoints(known *wire.EndpointList) {
	if inherited := inheritedEndpoints(s.predecessor, s.log); inherited != nil {
		known, s.inheritedList = inherited, true
	}
	s.endpoints = proxy.NewEndpointList(s.config.Discovery, known, s.router, s.config.Seed, s.counters, s.log)
	s.config.KnownEndpoints = nil // releases the memory: the router has applied the list
}

// buildGossip creates the gossip adapter and the modules that use it. The actors of the negative cache and the duties can't
// be stopped: they run until the process exits.
func (s *server) buildGossip() {
	config, sender := s.config, &gossipSender{}
	s.gossip = &gossipAdapter{
		sender: sender, config: config, router: s.router, endpoints: s.endpoints, counters: s.counters, log: s.log,
	}
	if config.Gossip != nil {
		s.endpoints.SetPeerNotifier(s.gossip.publishEndpoints)
		s.router.SetPeerNotifier(s.gossip.publishObservation)
	}
	if config.NegativeCache != nil {
		adapter := &negativeCacheAdapter{sender: sender, ttl: replica.Time(config.NegativeCache.TTL), proxies: config.proxies()}
		publish := adapter.publish
		if config.Gossip == nil {
			publish = nil
		}
		adapter.actor = proxy.NewNegativeCache(*config.NegativeCache, s.router, publish, s.log)
		s.gossip.negativeCache = adapter
		go adapter.actor.Run()
	}
	if config.Duties != nil {
		adapter := &dutiesAdapter{sender: sender}
		adapter.actor = proxy.NewDuties(*config.Duties, s.router, s.endpoints, adapter.publish, s.log)
		s.gossip.duties = adapter
		go adapter.actor.Run()
	}
	if config.ZoneHealth != nil {
		adapter := &zoneHealthAdapter{
			sender: sender, router: s.router, config: config.ZoneHealth, proxyName: config.Name, log: s.log,
		}
		s.gossip.zoneHealth = adapter
		s.router.EnableZoneHealth(*config.ZoneHealth, adapter.publishReport)
	}
}

// buildAdmin creates the admin service, and the admin server if an address is configured for it.
func (s *server) buildAdmin() error {
	s.admin = &adminService{
		clientListener: s.clientListener,
		gossip:         s.gossip,
		counters:       s.counters,
		recovery:       s.recovery,
		planner:        newMigrationPlanner(s.config.Rebalance),
	}
	if s.config.Management == "" {
		return nil
	}
	var adminServer *admin.Server
	err := retryStart(func() (err error) {
		adminServer, err = admin.Listen(s.config.Management, s.admin)
		return err
	})
	if err != nil {
		return &ManagementAddressError{err}
	}
	s.adminServer = adminServer
	go adminServer.Run() // until closeAdmin
	return nil
}

func (s *server) closeAdmin() {
	if s.adminServer != nil {
		s.adminServer.Close()
	}
}

// run starts the goroutines of the data path, of recovery and of the wall clock check.
func (s *server) run() {
	go s.router.Run()
	go s.endpoints.Run()
	if s.recovery != nil {
		go s.recovery.run()
	}
	go s.clientListener.Run()
	go watchWallClock(s.ctx, s.counters, s.log)
	s.log.Info("started", zap.String("name", s.config.Name), zap.String("listen", s.config.Listen),
		zap.Int("sockets", s.config.Sockets), zap.Bool("replaces", s.predecessor != nil))
}

// openForClients opens the proxy for clients once it has an endpoint list, and then waits until the predecessor has exited.
// The predecessor may run for longer than this process.
func (s *server) openForClients() {
	s.awaitEndpoints()
	s.clientListener.Open()
	if s.predecessor != nil {
		s.awaitPredecessorExit(s.predecessor)
	}
}

// awaitEndpoints waits up to discoveryWait for the endpoint list from discovery. It does not wait if the list is inherited,
// because an inherited list is up to date.
func (s *server) awaitEndpoints() {
	wait := discoveryWait
	if s.inheritedList {
		wait = 0
	}
	select {
	case <-s.endpoints.FirstMessage():
	case <-time.After(wait):
		if wait > 0 {
			s.log.Warn("discovery does not respond; serving from the last known endpoint list")
		}
	}
}
