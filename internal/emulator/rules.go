package emulator

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// The rules that every day is checked by. Each check looks only at what stand-ins saw.
const (
	LostRule    = "one final answer" // each request taken has one before its overall timeout, and nothing after
	ForeignRule = "its own value"    // a value was made for the request that is answered with it
	EffectRule  = "no effect twice"  // a write is carried out once
	DrainRule   = "drains kept"      // nothing new goes to a node so long after its proxy was told
	ColdRule    = "no cold node pushed over"
	CrashRule   = "no crash"
	StaleRule   = "no key missing past its time" // that was there when the request came, for longer than it may be called missing
	ShareRule   = "shares kept"                  // what running proxies say they may use of the fleet's limits is one together, or less
)

// What the rules allow.
const (
	Slack        = 50 * time.Millisecond
	DrainGrace   = 300 * time.Millisecond
	FallFor      = time.Second     // a cold node may be sent FallMultiple times what it can do for this long: N; it falls beyond
	FallMultiple = 3.0             // N + 2 sqrt N + 2, and that is a proxy's fault if two thirds came from such as knew of its start
	ToldAfter    = 6 * time.Second // what discovery has to tell counts as told then, whether or not it came
)

// Breach is a rule that was broken, with what was seen of the request, if it is one's.
type Breach struct {
	Rule string
	At   time.Duration
	ID   string
	Text string
	Path []Seen
}

func (b Breach) String() string {
	s := fmt.Sprintf("%s: %.3f s: %s", b.Rule, b.At.Seconds(), b.Text)
	for _, p := range b.Path {
		s += fmt.Sprintf("\n    %.4f s %s proxy %d %s %s", p.At.Seconds(), p.What, p.Proxy, p.Node, p.Note)
	}
	return s
}

// Check goes through a day, in the order of what was seen.
func Check(d *Day, requests []Request, all []Seen) []Breach {
	return check(d, requests, all).found
}

func check(d *Day, requests []Request, all []Seen) *checker {
	c := &checker{
		day: d, routes: map[string]Route{}, keys: map[string]string{}, made: map[string]time.Duration{}, asked: map[string]Seen{}, answers: map[string]int{}, over: map[string]bool{},
		ran: map[string]int{}, told: map[spot]time.Duration{}, began: map[string]Seen{}, took: map[string][]sent{}, starts: map[spot]bool{},
		pushed: map[string]bool{}, ended: map[int][]time.Duration{}, paused: map[int][]time.Duration{}, shares: map[int][]Seen{},
	}
	for _, r := range requests {
		c.routes[r.ID], c.keys[r.ID] = d.Routes[r.Route], r.Key
	}
	for _, s := range all { // first, since connections end before it is seen that their process has
		switch {
		case s.What == Paused:
			c.paused[s.Proxy] = append(c.paused[s.Proxy], s.At)
		case s.What == Ended && s.Note == "killed": // one that was told to end has to answer first
			c.ended[s.Proxy] = append(c.ended[s.Proxy], s.At)
		}
	}
	for _, s := range all {
		c.see(s)
	}
	c.close()
	sort.SliceStable(c.found, func(i, j int) bool { return c.found[i].At < c.found[j].At })
	for i := range c.found {
		if id := c.found[i].ID; id != "" {
			c.found[i].Path = Of(all, id)
		}
	}
	return c
}

type sent struct {
	at    time.Duration
	knows bool // its proxy had been told of the node's start
}

type spot struct {
	proxy int
	node  string
}

type checker struct {
	day      *Day
	routes   map[string]Route
	keys     map[string]string        // by request
	made     map[string]time.Duration // keys, when they were first written
	stale    time.Duration            // the longest that one was called missing after that
	asked    map[string]Seen          // the last time each was asked
	answers  map[string]int
	over     map[string]bool // left, or closed on and asked again
	ran      map[string]int
	told     map[spot]time.Duration // since when a node drains, for a proxy
	began    map[string]Seen        // nodes, when they started cold
	took     map[string][]sent      // by node, of the last FallFor
	starts   map[spot]bool          // a node's latest start is known to a proxy
	pushed   map[string]bool
	ended    map[int][]time.Duration // when processes were killed
	shares   map[int][]Seen          // by proxy that runs, of the last second
	overdone bool                    // they were over, and that was told
	paused   map[int][]time.Duration // when processes were stopped where they stood, and went on, in turn
	last     time.Duration
	cold     float64 // the most that any node took while it was cold, against what fells it
	found    []Breach
}

func (c *checker) broke(rule string, s Seen, format string, args ...any) {
	c.found = append(c.found, Breach{Rule: rule, At: s.At, ID: s.ID, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) see(s Seen) {
	c.last = s.At
	switch s.What {
	case Asked:
		c.asked[s.ID] = s
		delete(c.over, s.ID)
	case Answered:
		c.answered(s)
	case Went:
		c.over[s.ID] = true
	case Closed:
		if !c.over[s.ID] && c.answers[s.ID] == 0 && s.Note != "reused" && !c.killed(s.Proxy, s.At-time.Second, s.At+time.Second) {
			c.over[s.ID] = true // told once
			c.broke(LostRule, s, "proxy %d ended the connection under request %s", s.Proxy, s.ID)
		}
	case Took:
		c.taken(s)
	case Ran:
		if _, ok := c.made[c.keys[s.ID]]; !ok {
			c.made[c.keys[s.ID]] = s.At
		}
		what := s.Note
		if what == "" {
			what = s.ID
		}
		if c.ran[what]++; c.ran[what] > 1 {
			c.broke(EffectRule, s, "write %s was carried out %d times", what, c.ran[what])
		}
	case Told:
		at := spot{s.Proxy, s.Node}
		if _, drains := c.told[at]; s.Note == "active" {
			delete(c.told, at)
			c.starts[at] = true
		} else if !drains {
			c.told[at] = s.At
		}
	case Began:
		c.began[s.Node] = s
		c.took[s.Node] = nil
		for at := range c.starts {
			if at.node == s.Node {
				delete(c.starts, at)
			}
		}
	case Shared:
		c.shared(s)
	case Ended:
		delete(c.shares, s.Proxy)
		if s.Note == "crashed" {
			c.broke(CrashRule, s, "proxy %d crashed", s.Proxy)
		}
	}
}

func (c *checker) answered(s Seen) {
	if c.answers[s.ID]++; c.answers[s.ID] > 1 {
		c.broke(LostRule, s, "request %s was answered %d times", s.ID, c.answers[s.ID])
		return
	}
	asked, ok := c.asked[s.ID]
	if !ok {
		c.broke(LostRule, s, "request %s was answered and never asked", s.ID)
		return
	}
	if took, most := s.At-asked.At, millis(c.routes[s.ID].Overall)+Slack; took > most && !c.stood(s.Proxy, asked.At, s.At) {
		c.broke(LostRule, s, "request %s was answered after %v, later than %v", s.ID, took, most)
	}
	if s.Node == none && s.Note == "completed" {
		key := c.keys[s.ID]
		written, ok := c.made[key]
		if !ok && draw("missing", key) >= c.day.Missing.Part {
			c.broke(StaleRule, s, "key %s of request %s was always there, and is called missing", key, s.ID)
		} else if late := asked.At - written; ok && late > 0 {
			if c.stale = max(c.stale, late); late > c.day.believed() && !c.stood(s.Proxy, written, s.At) {
				c.broke(StaleRule, s, "key %s of request %s is called missing %v after it was written, over %v", key, s.ID, late, c.day.believed())
			}
		}
		return
	}
	if s.Note == "completed" && s.Made != s.ID {
		c.broke(ForeignRule, s, "request %s was answered with a value made for %q", s.ID, s.Made)
	}
}

func (c *checker) taken(s Seen) {
	since, drains := c.told[spot{s.Proxy, s.Node}]
	if p := c.paused[s.Proxy]; drains {
		for i := 0; i+1 < len(p); i += 2 { // what it is told as it stands it reads when it goes on
			if since >= p[i]-DrainGrace && since <= p[i+1] {
				since = max(since, p[i+1])
			}
		}
	}
	if drains && s.At > since+DrainGrace+Slack {
		c.broke(DrainRule, s, "node %s took request %s from proxy %d %v after that was told", s.Node, s.ID, s.Proxy, s.At-since)
	}
	b, cold := c.began[s.Node]
	if !cold || c.pushed[s.Node] || s.At > b.At+seconds(c.day.Fleet.Cold) {
		return
	}
	all := append(c.took[s.Node], sent{s.At, c.starts[spot{s.Proxy, s.Node}]})
	for all[0].at < s.At-FallFor {
		all = all[1:]
	}
	c.took[s.Node] = all
	part := c.day.Fleet.ColdFrom
	if cold := seconds(c.day.Fleet.Cold); cold > 0 {
		part += (1 - part) * float64(s.At-b.At) / float64(cold)
	}
	mean := FallMultiple * part * b.Figure * FallFor.Seconds()
	most := mean + 2*math.Sqrt(mean) + 2
	if c.cold = max(c.cold, float64(len(all))/most); float64(len(all)) <= most {
		return
	}
	c.pushed[s.Node] = true // it lies there, and what comes after that tells nothing
	knew := 0
	for _, s := range all {
		if s.knows {
			knew++
		}
	}
	if 3*knew > 2*len(all) {
		c.broke(ColdRule, Seen{At: s.At}, "node %s, cold for %v, took %d commands in %v, %d of them from proxies that knew; %.0f are allowed", s.Node,
			s.At-b.At, len(all), FallFor, knew, most)
	}
}

// shared adds up shares, the least that each said within the second before: they are asked one after the other, and one that
// falls makes room for another that grows.
func (c *checker) shared(s Seen) {
	last := append(c.shares[s.Proxy], s)
	for last[0].At < s.At-time.Second {
		last = last[1:]
	}
	c.shares[s.Proxy] = last
	sum := 0.0
	for _, all := range c.shares {
		least := 1.0
		for _, s := range all {
			least = min(least, s.Figure)
		}
		sum += least
	}
	if sum > 1.001 && !c.overdone {
		c.overdone = true
		c.broke(ShareRule, Seen{At: s.At}, "%d proxies say that they may use %.3f of the fleet's limits", len(c.shares), sum)
	}
}

// stood tells whether a proxy's process was stopped where it stood within a span: it could answer nothing then.
func (c *checker) stood(proxy int, from, to time.Duration) bool {
	p := c.paused[proxy]
	for i := 0; i < len(p); i += 2 {
		if p[i] <= to && (i+1 == len(p) || p[i+1] >= from) {
			return true
		}
	}
	return false
}

// killed tells whether a proxy's process was killed within a span, with which what it held is lost.
func (c *checker) killed(proxy int, from, to time.Duration) bool {
	for _, e := range c.ended[proxy] {
		if e >= from && e <= to {
			return true
		}
	}
	return false
}

// close looks for what never was answered, of that which had its time.
func (c *checker) close() {
	for id, s := range c.asked {
		end := s.At + millis(c.routes[id].Overall) + Slack
		if c.answers[id] == 0 && !c.over[id] && c.last >= end && !c.killed(s.Proxy, s.At-time.Second, end) && !c.stood(s.Proxy, s.At, end) {
			c.broke(LostRule, s, "request %s never was answered by proxy %d", id, s.Proxy)
		}
	}
}
