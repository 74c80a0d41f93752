package simnet

import (
	"fmt"
	"math/rand/v2"

	"woodproxy/replica"
)

const (
	// StepDuration is the resolution of simulated time.
	StepDuration = replica.Second / 20

	// startTime is the simulated time at which a fleet begins.
	startTime = 1000 * replica.Second

	stepsPerTick   = 2 // between two calls of Tick
	stepsPerGossip = 2 // between two rounds of gossip

	// networkStream separates the random numbers of the network from those that tests draw under the same seed.
	networkStream = 9
)

// Config describes a fleet and its network.
type Config struct {
	Proxies       int
	StatedProxies int                                       // fleet size that proxies are configured with; 0: Proxies
	Loss          float64                                   // probability that a datagram is lost
	Duplication   float64                                   // probability that a datagram is delivered twice
	MaxDelaySteps int                                       // of a datagram, in steps; at least 1
	QuotaFloor    float64                                   // fraction of an even quota that a proxy keeps while it is not seen
	HoldTime      replica.Time                              // after which the quota of a departed proxy is taken over
	NoHeartbeats  bool                                      // proxies do not announce that they are alive
	ClockSkew     replica.Time                              // the most by which a proxy's clock is ahead of simulated time
	ZoneOf        func(proxy int) string                    // name of the zone of a proxy; nil: no zones
	Demand        func(proxy int, now replica.Time) float64 // requests a second; nil: not reported
}

// Fleet is a fleet of proxies on a simulated network.
type Fleet struct {
	Config
	Now     replica.Time
	Proxies []*Proxy
	LinkCut func(from, to int) bool      // whether the network drops what one proxy sends to another; nil: nothing
	Log     func(proxy int, text string) // receives the log messages of proxies; nil: they are dropped

	rowChanged func(proxy int, row replica.Row) // called with each row that a proxy learns; nil: nobody
	inFlight   map[int][]packet                 // by the step of their delivery
	step       int
	random     *rand.Rand
}

// NewFleet returns a fleet of running proxies.
func NewFleet(config Config, seed uint64) *Fleet {
	f := &Fleet{
		Config:   config,
		Now:      startTime,
		inFlight: map[int][]packet{},
		random:   rand.New(rand.NewPCG(seed, networkStream)),
	}
	if f.StatedProxies == 0 {
		f.StatedProxies = config.Proxies
	}
	f.MaxDelaySteps = max(f.MaxDelaySteps, 1)
	for i := range config.Proxies {
		p := &Proxy{Number: i, clockSkew: replica.Time(f.random.Int64N(int64(config.ClockSkew) + 1))}
		f.Proxies = append(f.Proxies, p)
		f.Start(i)
	}
	return f
}

// Start starts the process of a proxy, without any state: one that was stopped returns as its next incarnation. Its
// peers learn of it from its first heartbeat.
func (f *Fleet) Start(proxy int) {
	p := f.Proxies[proxy]
	zone := ""
	if f.ZoneOf != nil {
		zone = f.ZoneOf(proxy)
	}
	p.incarnation++
	p.Store = replica.New(p.clock(f.Now), replica.Settings{
		Name:           ProxyName(proxy),
		Zone:           zone,
		Incarnation:    p.incarnation,
		FleetSize:      f.StatedProxies,
		Address:        fmt.Sprint(proxy),
		TakeoverDelay:  f.HoldTime,
		QuotaFloor:     f.QuotaFloor,
		ObservationTTL: 10 * replica.Second,
	}, f.random.Uint64())
	p.Store.SetYielded(f.NoHeartbeats)
	p.Running, p.Paused = true, false
	p.broadcasts, p.received, p.EndpointRows = nil, nil, map[string]replica.Row{}
	p.Quota = p.Store.QuotaShare()
}

// Stop ends the process of a proxy without notice to its peers.
func (f *Fleet) Stop(proxy int) { f.Proxies[proxy].Running = false }

// Do calls a function with a proxy and its clock, and carries out the decisions that it returns.
func (f *Fleet) Do(proxy int, call func(p *Proxy, now replica.Time) []replica.Decision) {
	p := f.Proxies[proxy]
	f.apply(p, call(p, p.clock(f.Now)))
}

// Run lets simulated time pass. After each step it calls check, where that is not nil.
func (f *Fleet) Run(duration replica.Time, check func()) {
	for end := f.Now + duration; f.Now < end; {
		f.step++
		f.Now += StepDuration
		f.deliver()
		for _, p := range f.Proxies {
			f.runStep(p)
		}
		if check != nil {
			check()
		}
	}
}

// runStep runs one step of a proxy: what arrived while it was paused, its timers and its gossip.
func (f *Fleet) runStep(p *Proxy) {
	if p.Paused {
		p.wasPaused = true
	}
	if !p.Running || p.Paused {
		return
	}
	if p.wasPaused { // a process that resumes sees its expired timers before its sockets
		p.wasPaused = false
		f.tick(p)
	}
	for len(p.received) > 0 {
		next := p.received[0]
		p.received = p.received[1:]
		f.apply(p, next.receive(p))
	}
	if f.step%stepsPerTick == 0 {
		if f.Demand != nil {
			p.Store.SetDemand(f.Demand(p.Number, f.Now))
		}
		f.tick(p)
	}
	if f.step%stepsPerGossip == 0 {
		f.gossip(p)
	}
}

func (f *Fleet) tick(p *Proxy) { f.apply(p, p.Store.Tick(p.clock(f.Now))) }

// QuotaSum is the sum of the quotas of all proxies that run, as a fraction of the limits of the fleet.
func (f *Fleet) QuotaSum() float64 {
	sum := 0.0
	for _, p := range f.Proxies {
		if p.Running && !p.Paused {
			sum += p.Quota
		}
	}
	return sum
}

// SameEndpoints reports whether two proxies hold the same endpoint rows.
func (f *Fleet) SameEndpoints(a, b int) bool { return f.endpointDigest(a) == f.endpointDigest(b) }

func (f *Fleet) endpointDigest(proxy int) uint64 {
	return f.Proxies[proxy].Store.KindStats()[replica.KindEndpoint].Digest
}
