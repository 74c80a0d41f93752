package duties

import (
	"math/rand/v2"
	"testing"
)

// defaultSettings are the settings of the simulated proxies, except for their names.
var defaultSettings = Settings{
	Watchers: 6, IdleOwners: 4, ShareProbes: true, ProbeInterval: Second / 2, TakeoverDelay: Second / 5,
	HeartbeatInterval: Second / 2, LeaseDuration: 3 * Second / 2,
}

const (
	stepsPerSecond = 20
	simulationStep = Second / stepsPerSecond // resolution of the simulated time
	tickInterval   = Second / 10             // interval between two ticks of a proxy
	watchStart     = Second / 10             // time from the start of a watch to its first event
	probeTimeout   = Second / 2              // time after which a probe has failed
	probedNodeName = "c1"                    // name of the node that the proxies send requests to
)

func seconds(span Time) float64 { return float64(span) / float64(Second) }

// simulation simulates a fleet of proxies that exchange reports over a network that delays and loses them.
type simulation struct {
	now        Time
	proxies    []*simulatedProxy
	members    []Proxy
	random     *rand.Rand
	deliveries map[Time][]func() // events by the time at which they are due

	lossRate      float64             // fraction of reports that are lost
	maxExtraDelay Time                // maximum random delay of a report, in addition to minDelay
	minDelay      Time                // minimum delay of a report
	partitioned   func(a, b int) bool // whether the link between two proxies is cut; nil: no link is

	nodeUnresponsive  bool    // whether the probed node does not respond
	requestRate       float64 // requests per second from the whole fleet to the probed node
	independentProbes bool    // whether each proxy probes at intervals of its own backoff, as a baseline
	probes            int     // requests sent to the unresponsive node

	misbehave func(s *simulation, proxy int) // called for each proxy at each tick to send false reports, may be nil

	lastWatched Time // latest time at which some watch worked
	longestGap  Time // longest time without a working watch
}

type simulatedProxy struct {
	*Assigner
	up         bool
	ejected    bool    // whether this proxy has ejected the probed node
	ejectUntil Time    // time until which this proxy sends no request to the ejected node
	backoff    Time    // duration of the next ejection, which grows only without sharing
	suspicion  float64 // probability that a request avoids the node
	watches    bool
	watchLive  Time // time from which the watch works, 0 if there is no watch
	watchHangs bool // whether the watch never works
}

func newSimulation(proxies int, settings Settings, seed uint64) *simulation {
	s := &simulation{
		now: 100 * Second, random: rand.New(rand.NewPCG(seed, 5)), maxExtraDelay: Second / 4,
		deliveries: map[Time][]func(){}, members: makeMembers(proxies, 3), requestRate: 40,
	}
	for i := range proxies {
		s.proxies = append(s.proxies, s.startProxy(i, settings))
	}
	return s
}

func (s *simulation) startProxy(i int, settings Settings) *simulatedProxy {
	settings.Self = s.members[i].Name
	p := &simulatedProxy{
		Assigner: New(s.now, settings), up: true, watches: true, watchLive: s.now + watchStart, backoff: settings.ProbeInterval,
	}
	p.SetNodes(s.now, []string{probedNodeName, "c2"})
	return p
}

// shareMembership updates the membership view of each proxy: the proxies that are up and on its side of the partition.
func (s *simulation) shareMembership() {
	for i, p := range s.proxies {
		view := append([]Proxy(nil), s.members...)
		for k := range view {
			view[k].Alive = s.proxies[k].up && (s.partitioned == nil || k == i || !s.partitioned(k, i))
		}
		s.execute(i, p.SetMembers(s.now, view, false))
	}
}

// execute executes the decisions of a proxy.
func (s *simulation) execute(i int, decisions []Decision) {
	p := s.proxies[i]
	for _, d := range decisions {
		switch d.Action {
		case ScheduleProbe:
			if d.Node == probedNodeName {
				p.ejectUntil = d.NotBefore
			}
		case SetSuspicion: // the same rule as in the balancer
			p.suspicion += (1 - p.suspicion) * 0.4
			if !d.Enabled {
				p.suspicion = 0
			}
		case SetWatch:
			s.setWatch(p, d.Enabled)
		case Broadcast:
			s.broadcast(i, d)
		}
	}
}

func (s *simulation) setWatch(p *simulatedProxy, watches bool) {
	p.watches = watches
	if watches {
		p.watchLive = s.now + watchStart
		return
	}
	p.watchLive = 0
	p.SetWatchLive(s.now, false)
}

// broadcast sends a proxy's report to all others.
func (s *simulation) broadcast(from int, report Decision) {
	sender, sentAt := s.proxies[from], s.now
	for to, receiver := range s.proxies {
		if to == from || s.random.Float64() < s.lossRate || s.partitioned != nil && s.partitioned(from, to) {
			continue
		}
		extraSteps := 1 + Time(s.random.Int64N(int64(s.maxExtraDelay/simulationStep)+1))
		at := s.now + s.minDelay + simulationStep*extraSteps
		s.deliveries[at] = append(s.deliveries[at], func() {
			if receiver == s.proxies[to] && receiver.up && s.proxies[from].up {
				name := sender.view.settings.Self
				s.execute(to, receiver.HandleReport(s.now, name, report.Kind, report.Key, report.Report, s.now-sentAt))
			}
		})
	}
}

// request simulates a request at a proxy for a key that the probed node owns.
func (s *simulation) request(i int) {
	p := s.proxies[i]
	if p.ejected && s.now < p.ejectUntil {
		return // the request is sent to the next node on the ring
	}
	if !p.ejected && s.random.Float64() < p.suspicion {
		return
	}
	if s.nodeUnresponsive {
		s.requestFails(i, p)
	} else if p.ejected {
		p.ejected, p.backoff = false, defaultSettings.ProbeInterval
		if !s.independentProbes {
			s.execute(i, p.SetEjected(s.now, probedNodeName, false))
		}
	}
}

// requestFails simulates a request to which the probed node does not respond.
func (s *simulation) requestFails(i int, p *simulatedProxy) {
	s.probes++
	wasEjected := p.ejected
	p.ejected, p.ejectUntil = true, s.now+p.backoff
	if s.independentProbes {
		p.backoff = min(2*p.backoff, 8*defaultSettings.ProbeInterval)
		return
	}
	if !wasEjected {
		s.execute(i, p.SetEjected(s.now, probedNodeName, true))
		return
	}
	s.execute(i, p.ProbeSent(s.now, probedNodeName))
	at := s.now + probeTimeout
	s.deliveries[at] = append(s.deliveries[at], func() { s.execute(i, p.ProbeFailed(s.now, probedNodeName)) })
}

func (s *simulation) run(span Time) {
	for end := s.now + span; s.now < end; {
		s.step()
	}
}

func (s *simulation) step() {
	s.now += simulationStep
	for _, deliver := range s.deliveries[s.now] {
		deliver()
	}
	delete(s.deliveries, s.now)
	for i, p := range s.proxies {
		if p.up {
			s.stepProxy(i, p)
		}
	}
	s.longestGap = max(s.longestGap, s.now-s.lastWatched)
}

func (s *simulation) stepProxy(i int, p *simulatedProxy) {
	if p.watches && p.watchLive > 0 && p.watchLive <= s.now && !p.watchHangs {
		s.lastWatched = s.now
		p.SetWatchLive(s.now, true)
	}
	if s.now%tickInterval == 0 {
		if s.misbehave != nil {
			s.misbehave(s, i)
		}
		s.execute(i, p.Tick(s.now))
	}
	if s.random.Float64() < s.requestRate/float64(len(s.proxies))/stepsPerSecond {
		s.request(i)
	}
}

// count returns the number of proxies that are up and for which matches returns true.
func (s *simulation) count(matches func(p *simulatedProxy) bool) int {
	count := 0
	for _, p := range s.proxies {
		if p.up && matches(p) {
			count++
		}
	}
	return count
}

func (s *simulation) ejectedCount() int {
	return s.count(func(p *simulatedProxy) bool { return p.ejected })
}

func (s *simulation) watchingCount() int {
	return s.count(func(p *simulatedProxy) bool { return p.watches })
}

// outageResult is the result of runNodeOutage.
type outageResult struct {
	probesPerSecond float64 // rate in the second half of the outage, when all proxies have ejected the node
	recovery        Time    // time after the outage until 90% of the proxies use the node; above maxRecovery if never
}

const maxRecovery = 30 * Second

// runNodeOutage runs an outage of twenty seconds in which the probed node does not respond.
func runNodeOutage(t *testing.T, s *simulation) outageResult {
	t.Helper()
	s.shareMembership()
	s.run(2 * Second)
	s.nodeUnresponsive = true
	s.run(10 * Second)
	s.probes = 0
	s.run(10 * Second)
	s.nodeUnresponsive = false
	result := outageResult{probesPerSecond: float64(s.probes) / 10}
	for from := s.now; ; s.run(Second / 5) {
		result.recovery = s.now - from
		if s.ejectedCount()*10 <= len(s.proxies) || result.recovery > maxRecovery {
			return result
		}
	}
}
