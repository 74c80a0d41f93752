package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"woodproxy/internal/emulator"
)

// DrawOptions bound what is drawn.
type DrawOptions struct {
	Proxies int
	Seconds float64
	Kinds   []string // of faults; none: all
	Large   bool     // one fleet in four has hundreds or thousands of servers, and few proxies
}

// Times of a schedule, in seconds.
const (
	firstFault  = 0.8
	quietEnd    = 1.6 // without a fault, before the end
	slotLength  = 1.4 // in each of which two or three faults begin
	minDuration = 0.6
	maxDuration = 2.8
)

// faultDraw draws the figures of one kind of fault.
type faultDraw struct {
	kind   string
	weight int
	fill   func(d *drawer, f *emulator.Fault)
}

func nodes(least, most int) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) { f.Count = d.between(least, min(most, d.scenario.Fleet.Nodes)) }
}

func proxies(least, most int) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) { f.Count = d.between(least, min(most, d.scenario.Proxies)) }
}

func nodesInPart(most int, part float64) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) {
		f.Count, f.Part = d.between(1, min(most, d.scenario.Fleet.Nodes)), d.float(0.05, part)
	}
}

// failing draws a system call that fails, at several proxies: each time, or one time in some.
func failing(most float64) func(*drawer, *emulator.Fault) {
	return func(d *drawer, f *emulator.Fault) {
		f.Count, f.Variant = d.between(1, d.scenario.Proxies), d.random.IntN(10)
		f.Part = most
		if d.random.IntN(2) == 0 {
			f.Part = d.float(most/20, most/2)
		}
	}
}

func some(d *drawer, f *emulator.Fault) {
	if d.random.IntN(2) == 0 {
		f.Count = d.between(1, d.scenario.Proxies)
	}
}

// faultDraws are the kinds that are drawn. The weights make up for kinds that come in several forms.
var faultDraws = []faultDraw{
	{"restart", 3, proxies(1, 4)},
	{"kill", 3, proxies(1, 3)},
	{"mass-kill", 1, proxies(2, 16)},
	{"pause", 3, proxies(1, 4)},
	{"reload", 3, proxies(1, 8)},
	{"hot-restart", 3, proxies(1, 3)},
	{"agent-ahead", 1, proxies(1, 2)},
	{"bad-clients", 2, func(d *drawer, f *emulator.Fault) { f.Rate = d.float(5, 40) }},
	{"slow-clients", 1, func(d *drawer, f *emulator.Fault) { f.Count = d.between(2, 20) }},
	{"bursts", 2, func(d *drawer, f *emulator.Fault) { f.Rate = d.float(2, 20) }},
	{"silent", 2, nodes(1, 4)},
	{"slow", 1, func(d *drawer, f *emulator.Fault) {
		f.Count, f.Slowdown = d.between(1, min(3, d.scenario.Fleet.Nodes)), d.float(2, 12)
	}},
	{"failing", 1, nodesInPart(4, 0.6)},
	{"reset", 2, nodesInPart(4, 0.4)},
	{"garbled", 1, nodesInPart(3, 0.3)},
	{"halves", 1, nodesInPart(3, 0.3)},
	{"closes", 2, nodesInPart(6, 0.9)},
	{"conn-resets", 2, nodes(1, 8)},
	{"origin-resets", 2, nil},
	{"cold", 3, nodes(1, 4)},
	{"replace", 3, func(d *drawer, f *emulator.Fault) {
		f.Count, f.LeaveMS = d.between(1, min(4, d.scenario.Fleet.Nodes)), d.float(500, 900)
	}},
	{"origin-slow", 1, func(d *drawer, f *emulator.Fault) { f.Slowdown = d.float(2, 8) }},
	{"deaf", 2, some},
	{"refusing", 1, some},
	{"stale", 2, some},
	{"hush", 2, some},
	{"garbled-list", 1, some},
	{"cut-watch", 1, some},
	{"fail-socket", 2, failing(1)},
	{"fail-connect", 2, failing(1)},
	{"fail-accept", 3, failing(0.7)},
	{"break-conns", 2, failing(0.1)},
	{"interrupt", 1, failing(0.5)}, // each time, and the program would do nothing else
	{"short-read", 1, failing(1)},
	{"short-write", 1, failing(1)},
	{"fail-disk", 1, failing(1)},
	{"fail-sync", 1, failing(1)},
	{"clock-step", 4, func(d *drawer, f *emulator.Fault) {
		f.Count = d.between(1, d.scenario.Proxies)
		f.StepS = []float64{-3600, -5, 5, 3600}[d.random.IntN(4)]
	}},
}

// Kinds returns the kinds of faults that are drawn, in a fixed order.
func Kinds() []string {
	kinds := []string{kindCrowd}
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

// between draws a number, both bounds included.
func (d *drawer) between(least, most int) int { return least + d.random.IntN(max(most-least, 0)+1) }

func (d *drawer) float(least, most float64) float64 { return least + d.random.Float64()*(most-least) }

// chance is true in one case of so many.
func (d *drawer) chance(in int) bool { return d.random.IntN(in) == 0 }

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
	return d.scenario
}

// kindCrowd is a kind that is drawn apart from the others, which so stay as they are.
const kindCrowd = "crowd"

// drawCrowd adds a crowd to one scenario in four.
func (d *drawer) drawCrowd(seed uint64) {
	random, s := rand.New(rand.NewPCG(seed, 53)), d.scenario
	if random.IntN(4) > 0 {
		return
	}
	at := firstFault + random.Float64()*max(s.LengthS-quietEnd-minDuration-firstFault, 0)
	s.Faults = append(s.Faults, emulator.Fault{
		Kind: kindCrowd, AtS: at, DurationS: min(maxDuration, s.LengthS-quietEnd-at), Count: 1 + random.IntN(2),
	})
}

func (d *drawer) drawFleet() {
	s := d.scenario
	s.Fleet = emulator.Fleet{Nodes: d.between(5, 14), SlowStartS: d.float(1.5, 4), InitialSpeed: d.float(0.1, 0.4)}
	s.Fleet.NodeCapacity = emulator.NodeCapacity{Cores: d.between(1, 4), ServiceMS: d.float(2, 8), Queue: d.between(20, 100), Thrash: d.float(0, 0.03)}
	if zones := [][]string{nil, {"a", "b"}, {"a", "b", "c"}}[d.random.IntN(3)]; zones != nil {
		s.Fleet.Zones, s.Fleet.CrossZoneMS = zones, d.float(0.5, 3)
	}
	s.Origin = emulator.NodeCapacity{Cores: d.between(4, 12), ServiceMS: d.float(4, 15), Queue: 100}
	s.Keys = emulator.Keys{Count: d.between(500, 4000), Zipf: 1.1, CachedFraction: d.float(0.5, 0.95), ValueBytes: d.between(0, 2) * 3000}
	capacity := float64(s.Fleet.Nodes*s.Fleet.Cores) * 1000 / s.Fleet.ServiceMS
	s.Load = emulator.Load{Rate: min(d.float(0.15, 0.6)*capacity, 900), LeavingFraction: d.float(0, 0.1), DrippedFraction: d.float(0, 0.05)}
	if d.chance(2) {
		at := d.float(1, s.LengthS/2)
		s.Load.Steps = []emulator.Step{{AtS: at, Factor: 1.5}, {AtS: at + 1, Factor: 1}}
	}
	s.Limits = emulator.Limits{Cores: 1, MemoryMB: 64, Sockets: 512, Hedging: d.chance(2)}
}

// maxProxiesOfLargeFleet bounds the descriptors that the stand-ins of a large fleet take: each has one for each proxy.
const maxProxiesOfLargeFleet = 3

// enlarge gives one fleet in four many servers, which have the same capacity together. Its draws are apart from the
// others, which so stay as they are.
func (d *drawer) enlarge(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 52))
	if random.IntN(4) > 0 {
		return
	}
	servers := []int{200, 800, 3200}[random.IntN(3)]
	*d.scenario = *d.scenario.WithServers(servers)
	d.scenario.Proxies = min(d.scenario.Proxies, maxProxiesOfLargeFleet)
	d.scenario.Fleet.ServiceMS = min(d.scenario.Fleet.ServiceMS, 40)
	d.scenario.Load.Rate = min(d.scenario.Load.Rate, 300)
}

func (d *drawer) drawRoutes() {
	timeout := d.float(250, 1500)
	d.scenario.Routes = []emulator.Route{
		{Name: "read", Share: 0.8, ObjectiveMS: timeout * 0.6, TimeoutMS: timeout, Weight: 1},
		{Name: "put", Share: 0.12, ObjectiveMS: 300, TimeoutMS: d.float(400, 1500), Weight: 2, Write: true, DedupMS: d.float(200, 4000)},
		{Name: "once", Share: 0.08, ObjectiveMS: 300, TimeoutMS: d.float(400, 1500), Weight: 3, Write: true},
	}
}

// drawFeatures turns on what is off where proxies are deployed alone, in some scenarios.
func (d *drawer) drawFeatures() {
	s := d.scenario
	if len(s.Fleet.Zones) > 0 && d.chance(2) {
		s.ZoneHealth.Decision = "alone"
	}
	if d.chance(5) {
		s.Gossip.On = true
	}
	s.State = d.chance(3)
}

// drawFaults fills the scenario with faults of which two or three overlap.
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
	for begin := firstFault; begin < s.LengthS-quietEnd-minDuration; begin += slotLength {
		for range d.between(2, 3) {
			draw := pool[d.random.IntN(len(pool))]
			fault := emulator.Fault{Kind: draw.kind, AtS: begin + d.float(0, slotLength/2)}
			fault.DurationS = min(d.float(minDuration, maxDuration), s.LengthS-quietEnd-fault.AtS)
			if draw.kind == "pause" && d.chance(2) {
				fault.DurationS = d.float(0.05, 0.15)
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
