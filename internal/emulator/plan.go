package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Request is one that a client is to make, settled before the day begins.
type Request struct {
	At          time.Duration
	ID          string
	Key         string
	Route       int
	Proxy       int
	LeavesAfter time.Duration // the client leaves so long after it asked, 0: it waits
}

// Blow is a trouble with those whom it hits.
type FaultEvent struct {
	Trouble
	Targets []int // nodes or proxies
}

// Plan is a day with its chances drawn: who asks what when, and which trouble hits whom.
type Plan struct {
	Day      *Day
	Seed     uint64
	Requests []Request
	Blows    []FaultEvent
}

// Draw settles a day by a seed; the same seed gives the same day.
func (d *Day) Draw(seed uint64) *Plan {
	p := &Plan{Day: d, Seed: seed}
	chance := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), d.Keys.Zipf, 8, uint64(d.Keys.Count-1))
	gaps := distuv.Exponential{Rate: 1, Src: rand.NewPCG(seed, 3)}
	most := d.Load.Rate
	for _, s := range d.Load.Steps {
		most = math.Max(most, d.Load.Rate*s.Times)
	}
	for at := gaps.Rand() / most; at < d.Length; at += gaps.Rand() / most {
		if chance.Float64()*most > d.rateAt(at) { // drawn at the highest rate, and thinned
			continue
		}
		n := len(p.Requests)
		r := Request{
			At: seconds(at), ID: fmt.Sprintf("%08x%08x", uint32(seed), n), Key: keyName(zipf.Uint64()),
			Route: d.pickRoute(chance.Float64()), Proxy: chance.IntN(d.Proxies),
		}
		if chance.Float64() < d.Load.ImpatientFraction {
			r.LeavesAfter = millis(d.Routes[r.Route].Overall / 4)
		}
		p.Requests = append(p.Requests, r)
	}
	whom := rand.New(rand.NewPCG(seed, 4))
	for _, t := range d.Trouble {
		b := FaultEvent{Trouble: t}
		of := d.Fleet.Nodes
		if proxyFaults[t.Kind] {
			of = d.Proxies
		}
		switch {
		case t.Zone != "": // its proxies; zones are dealt out to proxies in turn
			for i := range d.Proxies {
				if d.Fleet.Zones[i%len(d.Fleet.Zones)] == t.Zone {
					b.Targets = append(b.Targets, i)
				}
			}
		case faultKinds[t.Kind].some && t.Nodes == 0: // all of them
			b.Targets = whom.Perm(of)
		case t.Kind != "slow-clients" && t.Kind != "whisper" && t.Kind != "link":
			b.Targets = whom.Perm(of)[:min(t.Nodes, of)]
		}
		p.Blows = append(p.Blows, b)
	}
	return p
}

func keyName(n uint64) string { return fmt.Sprintf("k%d", n) }

func (d *Day) rateAt(at float64) float64 {
	times := 1.0
	for _, s := range d.Load.Steps {
		if at >= s.At {
			times = s.Times
		}
	}
	return d.Load.Rate * times
}

func (d *Day) pickRoute(at float64) int {
	for i, r := range d.Routes {
		if at -= r.Share; at < 0 {
			return i
		}
	}
	return len(d.Routes) - 1
}
