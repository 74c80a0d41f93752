package emulator

import (
	"math"
	"time"
)

// arrival is a command that a node received.
type arrival struct {
	at       time.Duration
	informed bool // its proxy had been notified that the node is active
}

// slowStartCheck checks SlowStartRule.
type slowStartCheck struct {
	*findings
	fleet      Fleet
	starts     map[string]Event     // by node, its latest slow start
	arrivals   map[string][]arrival // by node, commands of the last overloadWindow
	startKnown map[proxyNode]bool   // proxies that were notified of the latest start of a node
	overloaded map[string]bool      // nodes whose overload was detected; their later arrivals are ignored
	peak       float64              // maximum load, as a fraction of the overload limit
}

func (s *slowStartCheck) observeBegin(e Event) {
	s.starts[e.Node] = e
	s.arrivals[e.Node] = nil
	for known := range s.startKnown {
		if known.node == e.Node {
			delete(s.startKnown, known)
		}
	}
}

func (s *slowStartCheck) observeDelivery(e Event) {
	if e.Note == statusActive {
		s.startKnown[proxyNode{e.Proxy, e.Node}] = true
	}
}

// observeArrival checks the load of a node in slow start. An overload is a violation if more than two thirds of the commands
// came from proxies that had been notified of the node's start.
func (s *slowStartCheck) observeArrival(e Event) {
	begin, starting := s.starts[e.Node]
	if !starting || s.overloaded[e.Node] || e.At > begin.At+seconds(s.fleet.SlowStartS) {
		return
	}
	recent := append(s.arrivals[e.Node], arrival{e.At, s.startKnown[proxyNode{e.Proxy, e.Node}]}) //nolint:gocritic // stored below
	for recent[0].at < e.At-overloadWindow {
		recent = recent[1:]
	}
	s.arrivals[e.Node] = recent
	limit := s.limit(e.At-begin.At, begin.Figure)
	s.peak = max(s.peak, float64(len(recent))/limit)
	if float64(len(recent)) <= limit {
		return
	}
	s.overloaded[e.Node] = true
	informed := 0
	for _, a := range recent {
		if a.informed {
			informed++
		}
	}
	if 3*informed > 2*len(recent) {
		s.violate(SlowStartRule, Event{At: e.At},
			"node %s, %v into its slow start, received %d commands in %v, %d of them from notified proxies, limit %.0f",
			e.Node, e.At-begin.At, len(recent), overloadWindow, informed, limit)
	}
}

// limit returns the maximum number of commands within overloadWindow for a node whose slow start began age ago. It is
// overloadMultiple times the current capacity, plus an allowance for random variation. commandsPerSecond is the full capacity.
func (s *slowStartCheck) limit(age time.Duration, commandsPerSecond float64) float64 {
	speed := s.fleet.InitialSpeed
	if slowStart := seconds(s.fleet.SlowStartS); slowStart > 0 {
		speed += (1 - speed) * float64(age) / float64(slowStart)
	}
	mean := overloadMultiple * speed * commandsPerSecond * overloadWindow.Seconds()
	if mean < smallMean {
		return mean + 3*math.Sqrt(mean) + 3
	}
	return mean + 2*math.Sqrt(mean) + 2
}

// smallMean is the expected number of commands below which limit tolerates a larger random variation.
const smallMean = 30
