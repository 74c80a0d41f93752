package negativecache

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const (
	simulationStep      = Second / 20
	heartbeatSteps      = 20             // steps between two heartbeats of a proxy
	fleetUpdateSteps    = 4              // steps between two fleet updates of a proxy
	reachabilityTimeout = 7 * Second / 2 // time from a proxy's last heartbeat until it counts as unreachable
	reportGrace         = 2 * Second
	simulatedProxies    = 6
	simulatedKeys       = 400
)

// defect is a bug that is deliberately built into the simulated proxies to check that the simulation detects it.
type defect int

const (
	noDefect                  defect = iota
	writesNotReported                // writes are not reported to other proxies
	unreachableCountReachable        // every proxy counts as reachable
	heartbeatsWithoutCount           // heartbeats do not announce the number of sent write reports
)

// fleetSimulation simulates proxies with a common origin. It delays and loses messages, partitions the network and
// pauses proxies.
type fleetSimulation struct {
	defect  defect
	random  *rand.Rand
	now     Time
	proxies []*simulatedProxy
	events  map[Time][]func()

	lossRate    float64
	partitioned func(a, b int) bool // whether the link between two proxies is cut; nil: no link is

	writtenAt    map[int]Time // keys that are present at the origin, with the time at which each was written
	maxStaleness Time         // longest time after its write at which a key was served as absent
	fetches      int
	hits         int // lookups that found an absent key
}

// simulatedProxy is a proxy of a fleetSimulation.
type simulatedProxy struct {
	cache       *Cache
	incarnation int64
	paused      bool
	pausedUntil Time     // time of the latest step in which the proxy was paused, 0 if it never was
	inbox       []func() // messages that arrived during a pause
	published   map[publicationSlot]publication
	heartbeats  map[string]heartbeat // latest heartbeat of each proxy, by name
}

func (p *simulatedProxy) name() string { return p.cache.settings.ProxyName }

// publicationSlot identifies a slot in which peers store a report of a proxy.
type publicationSlot struct {
	action Action
	slot   int
}

// publication is a stored report, which peers can fetch if they did not receive it.
type publication struct {
	sentAt  Time
	deliver func(to *simulatedProxy, age Time)
}

// heartbeat is a received heartbeat of a proxy.
type heartbeat struct {
	at           Time // when it was received
	writeReports int64
	incarnation  int64
}

func newFleetSimulation(seed uint64, planted defect) *fleetSimulation {
	s := &fleetSimulation{
		defect:    planted,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       1000 * Second,
		events:    map[Time][]func(){},
		writtenAt: map[int]Time{},
	}
	for i := range simulatedProxies {
		s.proxies = append(s.proxies, &simulatedProxy{
			cache: New(s.now, Settings{
				ProxyName: fmt.Sprint("n", i), Entries: 2048, TTL: 10 * Second, ReportGrace: reportGrace, MaxNewKeysPerSecond: 1000,
			}),
			incarnation: 1,
			published:   map[publicationSlot]publication{},
			heartbeats:  map[string]heartbeat{},
		})
	}
	return s
}

// schedule schedules an event after the given number of steps. With 0 steps the event never runs, because the events of
// the current step have already run.
func (s *fleetSimulation) schedule(steps int, event func()) {
	at := s.now + simulationStep*Time(steps)
	s.events[at] = append(s.events[at], event)
}

// broadcast delivers a message to all other proxies after one to six steps, unless it is lost. A paused proxy handles
// the message after its pause.
func (s *fleetSimulation) broadcast(from int, deliver func(to *simulatedProxy)) {
	for i, to := range s.proxies {
		if i == from || s.random.Float64() < s.lossRate || !s.connected(from, i) {
			continue
		}
		s.schedule(1+s.random.IntN(6), func() {
			if to.paused {
				to.inbox = append(to.inbox, func() { deliver(to) })
			} else {
				deliver(to)
			}
		})
	}
}

func (s *fleetSimulation) connected(a, b int) bool {
	return s.partitioned == nil || !s.partitioned(a, b)
}

// execute sends the reports in the decisions of a proxy's cache.
func (s *fleetSimulation) execute(i int, decisions []Decision) {
	p := s.proxies[i]
	for _, d := range decisions {
		incarnation := p.incarnation
		var deliver func(to *simulatedProxy, age Time)
		switch d.Action {
		case ActionReportWritten:
			deliver = func(to *simulatedProxy, _ Time) { to.cache.ReceiveWriteReport(s.now, p.name(), incarnation, d.Report) }
		case ActionReportAbsent:
			deliver = func(to *simulatedProxy, age Time) { to.cache.ReceiveAbsentReport(s.now, p.name(), d.Report, age) }
		default:
			continue
		}
		p.published[publicationSlot{d.Action, d.Slot}] = publication{sentAt: s.now, deliver: deliver}
		s.broadcast(i, func(to *simulatedProxy) { deliver(to, 0) }) // the age does not include the time in an inbox
	}
}

// lookUp looks up a key at a proxy. The proxy fetches the key from the origin unless it is cached as absent.
func (s *fleetSimulation) lookUp(i, key int) {
	p, hash := s.proxies[i], hashOf(key)
	if p.cache.Table.Contains(hash, s.now) {
		s.hits++
		if at, written := s.writtenAt[key]; written {
			s.maxStaleness = max(s.maxStaleness, s.now-at)
		}
		return
	}
	fetch := p.cache.Table.BeginFetch(hash)
	s.fetches++
	absent := false
	originSteps := s.random.IntN(3)
	s.schedule(originSteps, func() {
		_, written := s.writtenAt[key]
		absent = !written
	})
	s.schedule(originSteps+1+s.random.IntN(3), func() {
		if absent && !p.paused {
			s.execute(i, p.cache.KeyFetchedAbsent(s.now, hash, fetch, -1))
		}
	})
}

// write writes a key through a proxy. The origin applies the write one to twenty steps later.
func (s *fleetSimulation) write(i, key int) {
	cache, hash := s.proxies[i].cache, hashOf(key)
	cache.Table.RecordWrite(hash, s.now)
	if s.defect != writesNotReported {
		s.execute(i, cache.WriteAccepted(s.now, hash))
	}
	s.schedule(1+s.random.IntN(20), func() {
		if _, written := s.writtenAt[key]; !written {
			s.writtenAt[key] = s.now
		}
	})
}

// run simulates the given duration and calls load in each step.
func (s *fleetSimulation) run(span Time, load func()) {
	for end := s.now + span; s.now < end; {
		s.now += simulationStep
		for _, event := range s.events[s.now] {
			event()
		}
		delete(s.events, s.now)
		for i, p := range s.proxies {
			if p.paused {
				p.pausedUntil = s.now
			} else {
				s.stepProxy(i, p)
			}
		}
		load()
	}
}

// stepProxy performs the actions of a proxy that are due in a step.
func (s *fleetSimulation) stepProxy(i int, p *simulatedProxy) {
	inbox := p.inbox
	p.inbox = nil
	for _, handle := range inbox {
		handle()
	}
	s.execute(i, p.cache.Tick(s.now))
	step := int(s.now / simulationStep)
	if step%heartbeatSteps == i%heartbeatSteps {
		s.sendHeartbeat(i, p)
		s.fetchMissedReports(i, p)
	}
	if step%fleetUpdateSteps == 0 {
		s.updateFleet(i, p)
	}
}

func (s *fleetSimulation) sendHeartbeat(i int, p *simulatedProxy) {
	sent, incarnation := p.cache.WriteReportsSent(), p.incarnation
	if s.defect == heartbeatsWithoutCount {
		sent = 0
	}
	s.broadcast(i, func(to *simulatedProxy) {
		announced := max(to.heartbeats[p.name()].writeReports, sent)
		to.heartbeats[p.name()] = heartbeat{at: s.now, writeReports: announced, incarnation: incarnation}
	})
}

// fetchMissedReports delivers to a proxy all reports that a random other proxy has published.
func (s *fleetSimulation) fetchMissedReports(i int, p *simulatedProxy) {
	k := s.random.IntN(len(s.proxies))
	if k == i || s.proxies[k].paused || !s.connected(i, k) {
		return
	}
	for _, missed := range s.proxies[k].published {
		missed.deliver(p, s.now-missed.sentAt)
	}
}

func (s *fleetSimulation) updateFleet(i int, p *simulatedProxy) {
	var fleet []Proxy
	for _, other := range s.proxies {
		latest := p.heartbeats[other.name()]
		reachable := other == p || s.now-latest.at < reachabilityTimeout || s.defect == unreachableCountReachable
		fleet = append(fleet, Proxy{
			Name: other.name(), Reachable: reachable, WriteReports: latest.writeReports, Incarnation: latest.incarnation,
		})
	}
	catchingUp := p.pausedUntil > 0 && s.now-p.pausedUntil < Second
	s.execute(i, p.cache.UpdateFleet(s.now, fleet, len(s.proxies), catchingUp))
}

// simulateFaults simulates frequent lookups and rare writes at all proxies, under loss of a third of the messages, a
// partition and a paused proxy.
func simulateFaults(seed uint64, planted defect) *fleetSimulation {
	s := newFleetSimulation(seed, planted)
	keys := rand.NewZipf(rand.New(rand.NewPCG(seed, 2)), 1.2, 4, simulatedKeys)
	load := func() {
		for range 30 {
			if i := s.random.IntN(simulatedProxies); !s.proxies[i].paused {
				s.lookUp(i, int(keys.Uint64()))
			}
		}
		if i := s.random.IntN(simulatedProxies); s.random.Float64() < 0.05 && !s.proxies[i].paused {
			s.write(i, int(keys.Uint64())) // most likely a key that has been looked up
		}
		if s.random.Float64() < 0.005 {
			clear(s.writtenAt) // the origin deletes all keys, so that they are absent again
		}
	}
	s.run(8*Second, load)
	s.lossRate = 0.33
	s.run(8*Second, load)
	s.partitioned = func(a, b int) bool { return (a < 2) != (b < 2) }
	s.run(9*Second, load)
	s.partitioned = nil
	s.run(6*Second, load)
	s.proxies[3].paused = true
	s.run(6*Second, load)
	s.proxies[3].paused = false
	s.run(6*Second, load)
	s.lossRate = 0
	s.run(5*Second, load)
	return s
}

// maxAllowedStaleness is the maximum time after its write at which a key may be served as absent. By then the writer's
// last heartbeat has timed out, or the heartbeat that announces the write has arrived and the grace period is over.
const maxAllowedStaleness = reachabilityTimeout + reportGrace + Second

func TestStalenessIsBounded(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := simulateFaults(seed, noDefect)
			if s.maxStaleness > maxAllowedStaleness || s.hits < 1000 {
				t.Errorf("got a key served as absent %.2f s after its write, %d hits, %d fetches",
					inSeconds(s.maxStaleness), s.hits, s.fetches)
			}
		})
	}
}

func TestStalenessOfPlantedDefectsIsNoticed(t *testing.T) {
	for _, c := range []struct {
		name    string
		planted defect
	}{
		{"writes are not reported", writesNotReported},
		{"unreachable proxies count as reachable", unreachableCountReachable},
		{"heartbeats do not count write reports", heartbeatsWithoutCount},
	} {
		t.Run(c.name, func(t *testing.T) {
			staleness := Time(0)
			for seed := range uint64(6) {
				staleness = max(staleness, simulateFaults(seed, c.planted).maxStaleness)
			}
			if staleness <= maxAllowedStaleness {
				t.Errorf("got keys served as absent at most %.2f s after their write, want over %.2f s",
					inSeconds(staleness), inSeconds(maxAllowedStaleness))
			}
		})
	}
}

func inSeconds(span Time) float64 { return float64(span) / float64(Second) }
