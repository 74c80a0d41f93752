package emulator

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// The rules that every day is checked by. Each check looks only at what stand-ins saw.
const (
	FinalAnswerRule  = "one final answer" // each request taken has one before its overall timeout, and nothing after
	OwnValueRule     = "its own value"    // a value was made for the request that is answered with it
	SingleEffectRule = "no effect twice"  // a write is carried out once
	DrainRule        = "drains kept"      // nothing new goes to a node so long after its proxy was told
	SlowStartRule    = "no cold node pushed over"
	CrashRule        = "no crash"
	FreshAbsenceRule = "no key missing past its time" // that was there when the request came, for longer than it may be called missing
	QuotaRule        = "shares kept"                  // what running proxies say they may use of the fleet's limits is one together, or less
)

// What the rules allow.
const (
	TimingSlack      = 50 * time.Millisecond
	DrainGrace       = 300 * time.Millisecond
	OverloadWindow   = time.Second     // a cold node may be sent FallMultiple times what it can do for this long: N; it falls beyond
	OverloadMultiple = 3.0             // N + 2 sqrt N + 2, and that is a proxy's fault if two thirds came from such as knew of its start
	DeliveryDeadline = 6 * time.Second // what discovery has to tell counts as told then, whether or not it came
)

// Breach is a rule that was broken, with what was seen of the request, if it is one's.
type Violation struct {
	Rule   string
	At     time.Duration
	ID     string
	Text   string
	Events []Seen
}

func (b Violation) String() string {
	s := fmt.Sprintf("%s: %.3f s: %s", b.Rule, b.At.Seconds(), b.Text)
	for _, p := range b.Events {
		s += fmt.Sprintf("\n    %.4f s %s proxy %d %s %s", p.At.Seconds(), p.What, p.Proxy, p.Node, p.Note)
	}
	return s
}

// Check goes through a day, in the order of what was seen.
func CheckInvariants(d *Day, requests []Request, all []Seen) []Violation {
	return checkInvariants(d, requests, all).violations
}

func checkInvariants(d *Day, requests []Request, all []Seen) *checker {
	c := &checker{
		day: d, routes: map[string]Route{}, keys: map[string]string{}, firstWritten: map[string]time.Duration{}, lastAsked: map[string]Seen{}, answers: map[string]int{}, abandoned: map[string]bool{},
		runs: map[string]int{}, drainingSince: map[proxyNode]time.Duration{}, slowStarts: map[string]Seen{}, arrivals: map[string][]arrival{}, startKnown: map[proxyNode]bool{},
		overloaded: map[string]bool{}, kills: map[int][]time.Duration{}, pauses: map[int][]time.Duration{}, quotaReports: map[int][]Seen{},
	}
	for _, r := range requests {
		c.routes[r.ID], c.keys[r.ID] = d.Routes[r.Route], r.Key
	}
	for _, s := range all { // first, since connections end before it is seen that their process has
		switch {
		case s.What == Paused:
			c.pauses[s.Proxy] = append(c.pauses[s.Proxy], s.At)
		case s.What == Ended && s.Note == "killed": // one that was told to end has to answer first
			c.kills[s.Proxy] = append(c.kills[s.Proxy], s.At)
		}
	}
	for _, s := range all {
		c.observe(s)
	}
	c.checkUnanswered()
	sort.SliceStable(c.violations, func(i, j int) bool { return c.violations[i].At < c.violations[j].At })
	for i := range c.violations {
		if id := c.violations[i].ID; id != "" {
			c.violations[i].Events = EventsOfRequest(all, id)
		}
	}
	return c
}

type arrival struct {
	at       time.Duration
	informed bool // its proxy had been told of the node's start
}

type proxyNode struct {
	proxy int
	node  string
}

type checker struct {
	day           *Day
	routes        map[string]Route
	keys          map[string]string        // by request
	firstWritten  map[string]time.Duration // keys, when they were first written
	maxStaleness  time.Duration            // the longest that one was called missing after that
	lastAsked     map[string]Seen          // the last time each was asked
	answers       map[string]int
	abandoned     map[string]bool // left, or closed on and asked again
	runs          map[string]int
	drainingSince map[proxyNode]time.Duration // since when a node drains, for a proxy
	slowStarts    map[string]Seen             // nodes, when they started cold
	arrivals      map[string][]arrival        // by node, of the last FallFor
	startKnown    map[proxyNode]bool          // a node's latest start is known to a proxy
	overloaded    map[string]bool
	kills         map[int][]time.Duration // when processes were killed
	quotaReports  map[int][]Seen          // by proxy that runs, of the last second
	quotaExceeded bool                    // they were over, and that was told
	pauses        map[int][]time.Duration // when processes were stopped where they stood, and went on, in turn
	last          time.Duration
	coldPeak      float64 // the most that any node took while it was cold, against what fells it
	violations    []Violation
}

func (c *checker) violate(rule string, s Seen, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: s.At, ID: s.ID, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) observe(s Seen) {
	c.last = s.At
	switch s.What {
	case Asked:
		c.lastAsked[s.ID] = s
		delete(c.abandoned, s.ID)
	case Answered:
		c.observeAnswer(s)
	case Went:
		c.abandoned[s.ID] = true
	case Closed:
		if !c.abandoned[s.ID] && c.answers[s.ID] == 0 && s.Note != "reused" && !c.wasKilled(s.Proxy, s.At-time.Second, s.At+time.Second) {
			c.abandoned[s.ID] = true // told once
			c.violate(FinalAnswerRule, s, "proxy %d ended the connection under request %s", s.Proxy, s.ID)
		}
	case Took:
		c.observeArrival(s)
	case Ran:
		if _, ok := c.firstWritten[c.keys[s.ID]]; !ok {
			c.firstWritten[c.keys[s.ID]] = s.At
		}
		what := s.Note
		if what == "" {
			what = s.ID
		}
		if c.runs[what]++; c.runs[what] > 1 {
			c.violate(SingleEffectRule, s, "write %s was carried out %d times", what, c.runs[what])
		}
	case Told:
		at := proxyNode{s.Proxy, s.Node}
		if _, drains := c.drainingSince[at]; s.Note == "active" {
			delete(c.drainingSince, at)
			c.startKnown[at] = true
		} else if !drains {
			c.drainingSince[at] = s.At
		}
	case Began:
		c.slowStarts[s.Node] = s
		c.arrivals[s.Node] = nil
		for at := range c.startKnown {
			if at.node == s.Node {
				delete(c.startKnown, at)
			}
		}
	case Shared:
		c.observeQuota(s)
	case Ended:
		delete(c.quotaReports, s.Proxy)
		if s.Note == "crashed" {
			c.violate(CrashRule, s, "proxy %d crashed", s.Proxy)
		}
	}
}

func (c *checker) observeAnswer(s Seen) {
	if c.answers[s.ID]++; c.answers[s.ID] > 1 {
		c.violate(FinalAnswerRule, s, "request %s was answered %d times", s.ID, c.answers[s.ID])
		return
	}
	asked, ok := c.lastAsked[s.ID]
	if !ok {
		c.violate(FinalAnswerRule, s, "request %s was answered and never asked", s.ID)
		return
	}
	if took, most := s.At-asked.At, millis(c.routes[s.ID].Overall)+TimingSlack; took > most && !c.wasPaused(s.Proxy, asked.At, s.At) {
		c.violate(FinalAnswerRule, s, "request %s was answered after %v, later than %v", s.ID, took, most)
	}
	if s.Node == noSuchKey && s.Note == "completed" {
		key := c.keys[s.ID]
		written, ok := c.firstWritten[key]
		if !ok && hashedFloat("missing", key) >= c.day.Missing.Part {
			c.violate(FreshAbsenceRule, s, "key %s of request %s was always there, and is called missing", key, s.ID)
		} else if late := asked.At - written; ok && late > 0 {
			if c.maxStaleness = max(c.maxStaleness, late); late > c.day.maxAbsentStaleness() && !c.wasPaused(s.Proxy, written, s.At) {
				c.violate(FreshAbsenceRule, s, "key %s of request %s is called missing %v after it was written, over %v", key, s.ID, late, c.day.maxAbsentStaleness())
			}
		}
		return
	}
	if s.Note == "completed" && s.Made != s.ID {
		c.violate(OwnValueRule, s, "request %s was answered with a value made for %q", s.ID, s.Made)
	}
}

func (c *checker) observeArrival(s Seen) {
	since, drains := c.drainingSince[proxyNode{s.Proxy, s.Node}]
	if p := c.pauses[s.Proxy]; drains {
		for i := 0; i+1 < len(p); i += 2 { // what it is told as it stands it reads when it goes on
			if since >= p[i]-DrainGrace && since <= p[i+1] {
				since = max(since, p[i+1])
			}
		}
	}
	if drains && s.At > since+DrainGrace+TimingSlack {
		c.violate(DrainRule, s, "node %s took request %s from proxy %d %v after that was told", s.Node, s.ID, s.Proxy, s.At-since)
	}
	b, cold := c.slowStarts[s.Node]
	if !cold || c.overloaded[s.Node] || s.At > b.At+seconds(c.day.Fleet.Cold) {
		return
	}
	all := append(c.arrivals[s.Node], arrival{s.At, c.startKnown[proxyNode{s.Proxy, s.Node}]})
	for all[0].at < s.At-OverloadWindow {
		all = all[1:]
	}
	c.arrivals[s.Node] = all
	part := c.day.Fleet.ColdFrom
	if cold := seconds(c.day.Fleet.Cold); cold > 0 {
		part += (1 - part) * float64(s.At-b.At) / float64(cold)
	}
	mean := OverloadMultiple * part * b.Figure * OverloadWindow.Seconds()
	most := mean + 2*math.Sqrt(mean) + 2
	if c.coldPeak = max(c.coldPeak, float64(len(all))/most); float64(len(all)) <= most {
		return
	}
	c.overloaded[s.Node] = true // it lies there, and what comes after that tells nothing
	knew := 0
	for _, s := range all {
		if s.informed {
			knew++
		}
	}
	if 3*knew > 2*len(all) {
		c.violate(SlowStartRule, Seen{At: s.At}, "node %s, cold for %v, took %d commands in %v, %d of them from proxies that knew; %.0f are allowed", s.Node,
			s.At-b.At, len(all), OverloadWindow, knew, most)
	}
}

// shared adds up shares, the least that each said within the second before: they are asked one after the other, and one that
// falls makes room for another that grows.
func (c *checker) observeQuota(s Seen) {
	last := append(c.quotaReports[s.Proxy], s)
	for last[0].At < s.At-time.Second {
		last = last[1:]
	}
	c.quotaReports[s.Proxy] = last
	sum := 0.0
	for _, all := range c.quotaReports {
		least := 1.0
		for _, s := range all {
			least = min(least, s.Figure)
		}
		sum += least
	}
	if sum > 1.001 && !c.quotaExceeded {
		c.quotaExceeded = true
		c.violate(QuotaRule, Seen{At: s.At}, "%d proxies say that they may use %.3f of the fleet's limits", len(c.quotaReports), sum)
	}
}

// stood tells whether a proxy's process was stopped where it stood within a span: it could answer nothing then.
func (c *checker) wasPaused(proxy int, from, to time.Duration) bool {
	p := c.pauses[proxy]
	for i := 0; i < len(p); i += 2 {
		if p[i] <= to && (i+1 == len(p) || p[i+1] >= from) {
			return true
		}
	}
	return false
}

// killed tells whether a proxy's process was killed within a span, with which what it held is lost.
func (c *checker) wasKilled(proxy int, from, to time.Duration) bool {
	for _, e := range c.kills[proxy] {
		if e >= from && e <= to {
			return true
		}
	}
	return false
}

// close looks for what never was answered, of that which had its time.
func (c *checker) checkUnanswered() {
	for id, s := range c.lastAsked {
		end := s.At + millis(c.routes[id].Overall) + TimingSlack
		if c.answers[id] == 0 && !c.abandoned[id] && c.last >= end && !c.wasKilled(s.Proxy, s.At-time.Second, end) && !c.wasPaused(s.Proxy, s.At, end) {
			c.violate(FinalAnswerRule, s, "request %s never was answered by proxy %d", id, s.Proxy)
		}
	}
}
