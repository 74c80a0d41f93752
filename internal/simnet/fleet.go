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

	stepsPerTick   = 2 // steps between two calls of Tick
	stepsPerGossip = 2 // steps between two gossip rounds

	// networkStream is the PCG stream of the network's random numbers. Tests that use the same seed use other streams.
	networkStream = 9
)

// Config describes a fleet and its network.
type Config struct {
	Proxies             int
	ConfiguredFleetSize int          // fleet size that proxies are configured with; 0 means Proxies
	Loss                float64      // probability that a datagram is lost
	Duplication         float64      // probability that a datagram is delivered twice
	MaxDelaySteps       int          // maximum delay of a packet in steps; values below 1 count as 1
	QuotaFloor          float64      // fraction of an even share that is never taken over and is usable before confirmation
	TakeoverDelay       replica.Time // delay before the quota of a departed proxy is taken over
	NoHeartbeats        bool         // proxies send no heartbeats
	ClockSkew           replica.Time // maximum lead of a proxy's clock over simulated time

	ZoneOf func(proxy int) string                    // returns the zone name of a proxy; nil: no zones
	Demand func(proxy int, now replica.Time) float64 // demand in requests per second; nil: not reported
}

// Fleet is a fleet of proxies on a simulated network.
type Fleet struct {
	Config
	Now     replica.Time
	Proxies []*Proxy
	// LinkCut reports whether the network drops packets from one proxy to another; nil: no link is cut.
	LinkCut func(from, to int) bool
	Log     func(proxy int, text string) // receives the log messages of proxies; nil: they are discarded

	rowChanged func(proxy int, row replica.Row) // called with each row that a proxy receives; may be nil
	inFlight   map[int][]packet                 // by delivery step
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
	if f.ConfiguredFleetSize == 0 {
		f.ConfiguredFleetSize = config.Proxies
	}
	f.MaxDelaySteps = max(f.MaxDelaySteps, 1)
	for i := range config.Proxies {
		p := &Proxy{Number: i, clockSkew: replica.Time(f.random.Int64N(int64(config.ClockSkew) + 1))}
		f.Proxies = append(f.Proxies, p)
		f.Start(i)
	}
	return f
}

// Start starts the process of a proxy without any state. A proxy that was stopped returns with its next incarnation,
// which its peers detect by its first heartbeat.
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
		FleetSize:      f.ConfiguredFleetSize,
		Address:        fmt.Sprint(proxy),
		TakeoverDelay:  f.TakeoverDelay,
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

// Do calls a function with a proxy and the time of its clock, and carries out the decisions that the function returns.
func (f *Fleet) Do(proxy int, call func(p *Proxy, now replica.Time) []replica.Decision) {
	p := f.Proxies[proxy]
	f.apply(p, call(p, p.clock(f.Now)))
}

// Run advances simulated time by a duration. After each step it calls check if check is not nil.
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

// runStep runs one step of a proxy: it handles the packets that were queued while the proxy was paused, then runs the
// timers and the gossip.
func (f *Fleet) runStep(p *Proxy) {
	if p.Paused {
		p.wasPaused = true
	}
	if !p.Running || p.Paused {
		return
	}
	if p.wasPaused { // a resumed process handles its expired timers before its sockets
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

// QuotaSum returns the sum of the quotas of all running proxies that are not paused, as a fraction of the limits of the
// fleet.
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
