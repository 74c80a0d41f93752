package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"woodproxy/internal/emulator"
)

// DrawOptions bound the scenarios that Draw returns.
type DrawOptions struct {
	Proxies int
	Seconds float64
	Kinds   []string // kinds of faults; all kinds if empty
	Large   bool     // one fleet in four has hundreds or thousands of servers and few proxies
}

// Times of a fault schedule, in seconds.
const (
	firstFault   = 0.8 // start of the earliest fault
	faultFreeEnd = 1.6 // at the end of the scenario, without faults
	slotLength   = 1.4 // two or three faults start in each slot
	minDuration  = 0.6 // of a fault
	maxDuration  = 2.8 // of a fault
)

// faultDraw draws the parameters of one kind of fault.
type faultDraw struct {
	kind   string
	weight int
	fill   func(d *drawer, f *emulator.Fault)
}

func nodeCount(least, most int) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) { f.Count = d.intBetween(least, min(most, d.scenario.Fleet.Nodes)) }
}

func proxyCount(least, most int) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) { f.Count = d.intBetween(least, min(most, d.scenario.Proxies)) }
}

func nodeCountAndFraction(most int, maxFraction float64) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) {
		f.Count, f.Fraction = d.intBetween(1, min(most, d.scenario.Fleet.Nodes)), d.floatBetween(0.05, maxFraction)
	}
}

// systemCallFault draws a system call fault at one or more proxies. Half of the draws have the full probability most, the
// others a lower one.
func systemCallFault(most float64) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) {
		f.Count, f.Variant = d.intBetween(1, d.scenario.Proxies), d.random.IntN(10)
		f.Fraction = most
		if d.random.IntN(2) == 0 {
			f.Fraction = d.floatBetween(most/20, most/2)
		}
	}
}

func allOrSomeProxies(d *drawer, f *emulator.Fault) {
	if d.random.IntN(2) == 0 {
		f.Count = d.intBetween(1, d.scenario.Proxies)
	}
}

// faultDraws are the kinds of faults, with weights. A kind that has several forms has a higher weight.
var faultDraws = []faultDraw{
	{"restart", 3, proxyCount(1, 4)},
	{"kill", 3, proxyCount(1, 3)},
	{"mass-kill", 1, proxyCount(2, 16)},
	{"pause", 3, proxyCount(1, 4)},
	{"reload", 3, proxyCount(1, 8)},
	{"hot-restart", 3, proxyCount(1, 3)},
	{"agent-ahead", 1, proxyCount(1, 2)},
	{"bad-clients", 2, func(d *drawer, f *emulator.Fault) { f.Rate = d.floatBetween(5, 40) }},
	{"slow-clients", 1, func(d *drawer, f *emulator.Fault) { f.Count = d.intBetween(2, 20) }},
	{"bursts", 2, func(d *drawer, f *emulator.Fault) { f.Rate = d.floatBetween(2, 20) }},
	{"silent", 2, nodeCount(1, 4)},
	{"slow", 1, func(d *drawer, f *emulator.Fault) {
		f.Count, f.Slowdown = d.intBetween(1, min(3, d.scenario.Fleet.Nodes)), d.floatBetween(2, 12)
	}},
	{"failing", 1, nodeCountAndFraction(4, 0.6)},
	{"reset", 2, nodeCountAndFraction(4, 0.4)},
	{"garbled", 1, nodeCountAndFraction(3, 0.3)},
	{"halves", 1, nodeCountAndFraction(3, 0.3)},
	{"closes", 2, nodeCountAndFraction(6, 0.9)},
	{"conn-resets", 2, nodeCount(1, 8)},
	{"origin-resets", 2, nil},
	{"cold", 3, nodeCount(1, 4)},
	{"replace", 3, func(d *drawer, f *emulator.Fault) {
		f.Count, f.LeaveMS = d.intBetween(1, min(4, d.scenario.Fleet.Nodes)), d.floatBetween(500, 900)
	}},
	{"origin-slow", 1, func(d *drawer, f *emulator.Fault) { f.Slowdown = d.floatBetween(2, 8) }},
	{"deaf", 2, allOrSomeProxies},
	{"refusing", 1, allOrSomeProxies},
	{"stale", 2, allOrSomeProxies},
	{"hush", 2, allOrSomeProxies},
	{"garbled-list", 1, allOrSomeProxies},
	{"cut-watch", 1, allOrSomeProxies},
	{"fail-socket", 2, systemCallFault(1)},
	{"fail-connect", 2, systemCallFault(1)},
	{"fail-accept", 3, systemCallFault(0.7)},
	{"break-conns", 2, systemCallFault(0.1)},
	{"interrupt", 1, systemCallFault(0.5)}, // if every call were interrupted, the program would do nothing but retry
	{"short-read", 1, systemCallFault(1)},
	{"short-write", 1, systemCallFault(1)},
	{"fail-disk", 1, systemCallFault(1)},
	{"fail-sync", 1, systemCallFault(1)},
	{"clock-step", 4, func(d *drawer, f *emulator.Fault) {
		f.Count = d.intBetween(1, d.scenario.Proxies)
		f.StepS = []float64{-3600, -5, 5, 3600}[d.random.IntN(4)]
	}},
}

// Kinds returns the kinds of faults that can be drawn, in alphabetical order.
func Kinds() []string {
	kinds := []string{kindCrowd, kindSurplus, kindLateValues, kindFlood, kindLateAnswers}
	for _, d := range faultDraws {
		kinds = append(kinds, d.kind)
	}
	slices.Sort(kinds)
	return kinds
}

// drawer draws one scenario.
type drawer struct {
	random   *rand.Rand
	scenario *emulator.Scenario
}

// intBetween draws an integer from least to most, both included.
func (d *drawer) intBetween(least, most int) int { return least + d.random.IntN(max(most-least, 0)+1) }

func (d *drawer) floatBetween(least, most float64) float64 {
	return least + d.random.Float64()*(most-least)
}

// oneIn returns true with a probability of 1/in.
func (d *drawer) oneIn(in int) bool { return d.random.IntN(in) == 0 }

// Draw draws a scenario with its faults from a seed. The same seed and options give the same scenario.
func Draw(seed uint64, options DrawOptions) *emulator.Scenario {
	d := &drawer{
		random:   rand.New(rand.NewPCG(seed, 51)),
		scenario: &emulator.Scenario{Name: fmt.Sprint("soak-", seed), LengthS: options.Seconds, Proxies: options.Proxies, Admin: true},
	}
	d.drawFleet()
	if options.Large {
		d.enlarge(seed)
	}
	d.drawRoutes()
	d.drawFeatures()
	d.drawFaults(options.Kinds)
	if len(options.Kinds) == 0 || slices.Contains(options.Kinds, kindCrowd) {
		d.drawCrowd(seed)
	}
	if len(options.Kinds) == 0 || slices.Contains(options.Kinds, kindSurplus) {
		d.drawSurplus(seed)
	}
	if len(options.Kinds) == 0 || slices.Contains(options.Kinds, kindLateValues) {
		d.drawLateValues(seed)
	}
	if len(options.Kinds) == 0 || slices.Contains(options.Kinds, kindFlood) {
		d.drawFlood(seed)
	}
	if len(options.Kinds) == 0 || slices.Contains(options.Kinds, kindLateAnswers) {
		d.drawLateAnswers(seed)
	}
	return d.scenario
}

// Kinds of faults that are drawn from random sources of their own, as kindCrowd is.
const (
	kindLateValues  = "late-values"
	kindFlood       = "flood"
	kindLateAnswers = "late-answers"
)

// drawTime draws the time of a fault that is drawn from a random source of its own.
func (d *drawer) drawTime(random *rand.Rand) (atS, durationS float64) {
	atS = firstFault + random.Float64()*max(d.scenario.LengthS-faultFreeEnd-minDuration-firstFault, 0)
	return atS, min(maxDuration, d.scenario.LengthS-faultFreeEnd-atS)
}

// drawLateValues has some caches of one scenario in three send long values later than their heads.
func (d *drawer) drawLateValues(seed uint64) {
	random, s := rand.New(rand.NewPCG(seed, 55)), d.scenario
	if random.IntN(3) > 0 {
		return
	}
	const minDelayMS, maxDelayMS = 100, 1500
	fault := emulator.Fault{
		Kind: kindLateValues, Count: 1 + random.IntN(min(4, s.Fleet.Nodes)), Fraction: 0.05 + 0.25*random.Float64(),
		MaxDelayMS: minDelayMS + random.Float64()*(maxDelayMS-minDelayMS),
	}
	fault.AtS, fault.DurationS = d.drawTime(random)
	s.Faults = append(s.Faults, fault)
}

// drawFlood has some clients of one scenario in four send commands at full speed.
func (d *drawer) drawFlood(seed uint64) {
	random, s := rand.New(rand.NewPCG(seed, 56)), d.scenario
	if random.IntN(4) > 0 {
		return
	}
	fault := emulator.Fault{Kind: kindFlood, Count: 1 + random.IntN(6)}
	fault.AtS, fault.DurationS = d.drawTime(random)
	s.Faults = append(s.Faults, fault)
}

// drawLateAnswers has discovery answer watches late in one scenario in four.
func (d *drawer) drawLateAnswers(seed uint64) {
	random, s := rand.New(rand.NewPCG(seed, 57)), d.scenario
	if random.IntN(4) > 0 {
		return
	}
	const minDelayMS, maxDelayMS = 500, 2000
	fault := emulator.Fault{Kind: kindLateAnswers, MaxDelayMS: minDelayMS + random.Float64()*(maxDelayMS-minDelayMS)}
	fault.AtS, fault.DurationS = d.drawTime(random)
	s.Faults = append(s.Faults, fault)
}

// kindSurplus is a kind of fault that is drawn from a random source of its own, as kindCrowd is.
const kindSurplus = "surplus"

// Delays of surplus responses in milliseconds: prompt ones must harm nobody, late ones deceive a proxy once for each server.
const (
	maxPromptDelayMS = 45
	maxLateDelayMS   = 2000
)

// drawSurplus adds surplus responses to one scenario in two, and a class of reads that must not be executed twice.
func (d *drawer) drawSurplus(seed uint64) {
	random, s := rand.New(rand.NewPCG(seed, 54)), d.scenario
	if random.IntN(2) > 0 {
		return
	}
	at, duration := d.drawTime(random)
	fault := emulator.Fault{
		Kind: kindSurplus, AtS: at, DurationS: duration,
		Surplus: emulator.SurplusKinds()[random.IntN(len(emulator.SurplusKinds()))], Fraction: 0.05 + 0.35*random.Float64(), MaxDelayMS: maxPromptDelayMS,
	}
	if random.IntN(3) == 0 {
		fault.MaxDelayMS = maxLateDelayMS
	}
	s.Faults = append(s.Faults, fault)
	const unsafeShare = 0.05
	s.Routes[0].Share -= unsafeShare
	unsafe := s.Routes[0]
	unsafe.Name, unsafe.Share, unsafe.Unsafe = "take", unsafeShare, true
	s.Routes = append(s.Routes, unsafe)
}

// kindCrowd is a kind of fault that is drawn from a random source of its own, so that it does not change the sequence of
// the other draws.
const kindCrowd = "crowd"

// drawCrowd adds a crowd fault to one scenario in four.
func (d *drawer) drawCrowd(seed uint64) {
	random, s := rand.New(rand.NewPCG(seed, 53)), d.scenario
	if random.IntN(4) > 0 {
		return
	}
	at, duration := d.drawTime(random)
	s.Faults = append(s.Faults, emulator.Fault{Kind: kindCrowd, AtS: at, DurationS: duration, Count: 1 + random.IntN(2)})
}

func (d *drawer) drawFleet() {
	s := d.scenario
	s.Fleet = emulator.Fleet{Nodes: d.intBetween(5, 14), SlowStartS: d.floatBetween(1.5, 4), InitialSpeed: d.floatBetween(0.1, 0.4)}
	s.Fleet.NodeCapacity = emulator.NodeCapacity{Cores: d.intBetween(1, 4), ServiceMS: d.floatBetween(2, 8), Queue: d.intBetween(20, 100), Thrash: d.floatBetween(0, 0.03)}
	if zones := [][]string{nil, {"a", "b"}, {"a", "b", "c"}}[d.random.IntN(3)]; zones != nil {
		s.Fleet.Zones, s.Fleet.CrossZoneMS = zones, d.floatBetween(0.5, 3)
	}
	s.Origin = emulator.NodeCapacity{Cores: d.intBetween(4, 12), ServiceMS: d.floatBetween(4, 15), Queue: 100}
	s.Keys = emulator.Keys{Count: d.intBetween(500, 4000), Zipf: 1.1, CachedFraction: d.floatBetween(0.5, 0.95), ValueBytes: d.intBetween(0, 2) * 3000}
	capacity := float64(s.Fleet.Nodes*s.Fleet.Cores) * 1000 / s.Fleet.ServiceMS
	s.Load = emulator.Load{Rate: min(d.floatBetween(0.15, 0.6)*capacity, 900), LeavingFraction: d.floatBetween(0, 0.1), DrippedFraction: d.floatBetween(0, 0.05)}
	if d.oneIn(2) {
		at := d.floatBetween(1, s.LengthS/2)
		s.Load.Steps = []emulator.Step{{AtS: at, Factor: 1.5}, {AtS: at + 1, Factor: 1}}
	}
	s.Limits = emulator.Limits{Cores: 1, MemoryMB: 64, Sockets: 512, Hedging: d.oneIn(2)}
}

// maxProxiesOfLargeFleet bounds the file descriptors that the emulated servers of a large fleet use: each server holds one
// for each proxy.
const maxProxiesOfLargeFleet = 3

// enlarge gives one fleet in four many more servers with the same total capacity. It draws from a random source of its
// own, so that it does not change the sequence of the other draws.
func (d *drawer) enlarge(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 52))
	if random.IntN(4) > 0 {
		return
	}
	nodes := []int{200, 800, 3200}[random.IntN(3)]
	*d.scenario = *d.scenario.WithNodes(nodes)
	d.scenario.Proxies = min(d.scenario.Proxies, maxProxiesOfLargeFleet)
	d.scenario.Fleet.ServiceMS = min(d.scenario.Fleet.ServiceMS, 40)
	d.scenario.Load.Rate = min(d.scenario.Load.Rate, 300)
}

func (d *drawer) drawRoutes() {
	timeout := d.floatBetween(250, 1500)
	d.scenario.Routes = []emulator.Route{
		{Name: "read", Share: 0.8, ObjectiveMS: timeout * 0.6, TimeoutMS: timeout, Weight: 1},
		{Name: "put", Share: 0.12, ObjectiveMS: 300, TimeoutMS: d.floatBetween(400, 1500), Weight: 2, Write: true, DedupMS: d.floatBetween(200, 4000)},
		{Name: "once", Share: 0.08, ObjectiveMS: 300, TimeoutMS: d.floatBetween(400, 1500), Weight: 3, Write: true},
	}
}

// drawFeatures turns on, in some scenarios, features that are off when proxies are deployed standalone: zone health, gossip
// and state files.
func (d *drawer) drawFeatures() {
	s := d.scenario
	if len(s.Fleet.Zones) > 0 && d.oneIn(2) {
		s.ZoneHealth.Decision = "alone"
	}
	if d.oneIn(5) {
		s.Gossip.On = true
	}
	s.State = d.oneIn(3)
}

// drawFaults adds faults to the scenario, of which two or three overlap on average.
func (d *drawer) drawFaults(kinds []string) {
	s := d.scenario
	var pool []faultDraw
	for _, draw := range faultDraws {
		if len(kinds) == 0 || slices.Contains(kinds, draw.kind) {
			for range draw.weight {
				pool = append(pool, draw)
			}
		}
	}
	for begin := firstFault; begin < s.LengthS-faultFreeEnd-minDuration; begin += slotLength {
		for range d.intBetween(2, 3) {
			draw := pool[d.random.IntN(len(pool))]
			fault := emulator.Fault{Kind: draw.kind, AtS: begin + d.floatBetween(0, slotLength/2)}
			fault.DurationS = min(d.floatBetween(minDuration, maxDuration), s.LengthS-faultFreeEnd-fault.AtS)
			if draw.kind == "pause" && d.oneIn(2) {
				fault.DurationS = d.floatBetween(0.05, 0.15)
			}
			if fault.DurationS <= 0 {
				continue
			}
			if draw.fill != nil {
				draw.fill(d, &fault)
			}
			s.Faults = append(s.Faults, fault)
		}
	}
}
