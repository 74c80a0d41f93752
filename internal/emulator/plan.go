package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Request is a request of a client, drawn before the scenario begins.
type Request struct {
	At          time.Duration // since the start of the scenario
	ID          string
	Key         string
	Route       int           // index of the route in the scenario
	Proxy       int           // index of the proxy to which it is sent
	LeavesAfter time.Duration // time after sending at which the client leaves; 0: it waits for the reply
	Dripped     bool          // the client writes it byte by byte
}

// FaultEvent is a fault with its drawn targets.
type FaultEvent struct {
	Fault
	Targets []int // indexes of nodes or proxies
}

// Plan is a scenario with all its random choices made.
type Plan struct {
	Scenario *Scenario
	Seed     uint64
	Requests []Request // by time
	Faults   []FaultEvent
}

// NewPlan makes the random choices of a scenario from a seed. The same seed yields the same plan.
func (d *Scenario) NewPlan(seed uint64) *Plan {
	return &Plan{Scenario: d, Seed: seed, Requests: d.drawRequests(seed), Faults: d.drawFaults(seed)}
}

// drawRequests draws Poisson arrivals at the maximum rate and thins them to the rate at each time.
func (d *Scenario) drawRequests(seed uint64) (requests []Request) {
	random := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), d.Keys.Zipf, 8, uint64(d.Keys.Count-1))
	gaps := distuv.Exponential{Rate: 1, Src: rand.NewPCG(seed, 3)}
	maxRate := d.Load.Rate
	for _, s := range d.Load.Steps {
		maxRate = math.Max(maxRate, d.Load.Rate*s.Factor)
	}
	for at := gaps.Rand() / maxRate; at < d.LengthS; at += gaps.Rand() / maxRate {
		if random.Float64()*maxRate > d.rateAt(at) {
			continue
		}
		r := Request{
			At: seconds(at), ID: fmt.Sprintf("%08x%08x", uint32(seed), len(requests)), Key: keyName(zipf.Uint64()),
			Route: d.pickRoute(random.Float64()), Proxy: random.IntN(d.Proxies),
		}
		if random.Float64() < d.Load.LeavingFraction {
			r.LeavesAfter = millis(d.Routes[r.Route].TimeoutMS / 4)
		}
		if d.Load.DrippedFraction > 0 {
			r.Dripped = random.Float64() < d.Load.DrippedFraction
		}
		requests = append(requests, r)
	}
	return requests
}

func (d *Scenario) drawFaults(seed uint64) (events []FaultEvent) {
	random := rand.New(rand.NewPCG(seed, 4))
	for _, fault := range d.Faults {
		events = append(events, FaultEvent{Fault: fault, Targets: d.drawTargets(fault, random)})
	}
	return events
}

// drawTargets draws the nodes or proxies that a fault affects. The targets of a fault of a zone are the proxies of the zone.
func (d *Scenario) drawTargets(fault Fault, random *rand.Rand) (targets []int) {
	candidates := d.Fleet.Nodes
	if proxyFaults[fault.Kind] {
		candidates = d.Proxies
	}
	switch {
	case fault.Zone != "":
		for i := range d.Proxies {
			if d.Fleet.Zones[i%len(d.Fleet.Zones)] == fault.Zone {
				targets = append(targets, i)
			}
		}
		return targets
	case faultKinds[fault.Kind].some && fault.Count == 0:
		return random.Perm(candidates)
	case slices.Contains([]string{"slow-clients", "flood", "whisper", "link", "bursts", "origin-resets", "origin-busy"}, fault.Kind): // no targets
		return nil
	default:
		return random.Perm(candidates)[:min(fault.Count, candidates)]
	}
}

func keyName(n uint64) string { return fmt.Sprintf("k%d", n) }

// rateAt returns the request rate at a time in seconds since the start of the scenario.
func (d *Scenario) rateAt(at float64) float64 {
	factor := 1.0
	for _, s := range d.Load.Steps {
		if at >= s.AtS {
			factor = s.Factor
		}
	}
	return d.Load.Rate * factor
}

// pickRoute maps a point in [0, 1) to a route: the routes divide this interval in order, each in proportion to its share.
func (d *Scenario) pickRoute(point float64) int {
	for i, r := range d.Routes {
		if point -= r.Share; point < 0 {
			return i
		}
	}
	return len(d.Routes) - 1
}
