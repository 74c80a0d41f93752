package emulator

import (
	"math"
	"time"
)

// arrival is a command that a node received.
type arrival struct {
	at       time.Duration
	informed bool // its proxy had been notified of the node's start
}

// slowStartCheck checks SlowStartRule.
type slowStartCheck struct {
	*findings
	fleet      Fleet
	begins     map[string]Event     // by node, its latest slow start
	arrivals   map[string][]arrival // by node, of the last overloadWindow
	startKnown map[proxyNode]bool   // a proxy was notified of a node's latest start
	overloaded map[string]bool      // nodes whose further load tells nothing
	peak       float64              // greatest load, as a part of what overloads
}

func (s *slowStartCheck) observeBegin(e Event) {
	s.begins[e.Node] = e
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

// observeArrival counts an overload as a violation where more than two thirds of the commands came from proxies that knew of the
// node's start.
func (s *slowStartCheck) observeArrival(e Event) {
	begin, starting := s.begins[e.Node]
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
			"node %s, cold for %v, took %d commands in %v, %d of them from proxies that knew; %.0f are allowed",
			e.Node, e.At-begin.At, len(recent), overloadWindow, informed, limit)
	}
}

// limit returns how many commands within overloadWindow a node bears at an age, by its full capacity in commands a second.
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

// smallMean is the mean below which chance is allowed more.
const smallMean = 30
