package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Rule is an invariant, by the text that appears in reports.
type Rule string

// Rules that every scenario is checked by.
const (
	// FinalAnswerRule: each request that is accepted has one answer before its overall timeout, and nothing after it.
	FinalAnswerRule Rule = "one final answer"
	// OwnValueRule: the value of an answer was made for its request.
	OwnValueRule Rule = "its own value"
	// SingleEffectRule: a write is carried out once.
	SingleEffectRule Rule = "no effect twice"
	// DrainRule: a draining node receives nothing once drainGrace has passed since its proxy was notified.
	DrainRule Rule = "drains kept"
	// SlowStartRule: a node in slow start is not overloaded.
	SlowStartRule Rule = "no cold node pushed over"
	// CrashRule: no proxy process ends by itself.
	CrashRule Rule = "no crash"
	// FreshAbsenceRule: no key that exists is reported missing for longer than maxAbsentStaleness after it was written.
	FreshAbsenceRule Rule = "no key missing past its time"
	// QuotaRule: the quotas that running proxies report add up to at most the fleet's limits.
	QuotaRule Rule = "shares kept"
)

// What the rules allow.
const (
	timingSlack      = 50 * time.Millisecond // for delays of the machine
	drainGrace       = 300 * time.Millisecond
	overloadWindow   = time.Second     // over which a node's load is measured
	overloadMultiple = 3.0             // a node in slow start bears N, this many times its capacity, and 2 sqrt N + 2 by chance
	deliveryDeadline = 6 * time.Second // what discovery has to deliver counts as delivered then
	killWindow       = time.Second     // between a proxy's kill and the end of a client's connection
	maxQuotaSum      = 1.001           // of all proxies, with rounding
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule
	At     time.Duration
	ID     string // of the request; "" where it is not one's
	Text   string
	Events []Seen // the request's
}

// String returns the violation and its events on a line each.
func (v Violation) String() string {
	s := fmt.Sprintf("%s: %.3f s: %s", v.Rule, v.At.Seconds(), v.Text)
	for _, e := range v.Events {
		s += fmt.Sprintf("\n    %.4f s %s proxy %d %s %s", e.At.Seconds(), e.What, e.Proxy, e.Node, e.Note)
	}
	return s
}

// CheckInvariants returns the violations in a scenario's events, ordered by time.
func CheckInvariants(scenario *Day, requests []Request, events []Seen) []Violation {
	return checkInvariants(scenario, requests, events).violations
}

// checkInvariants checks events and returns the checker with its findings and measurements.
func checkInvariants(scenario *Day, requests []Request, events []Seen) *checker {
	c := newChecker(scenario, requests, newProcessHistory(events))
	for _, e := range events {
		c.observe(e)
	}
	c.answers.checkUnanswered()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	for i, v := range c.violations {
		if v.ID != "" {
			c.violations[i].Events = eventsOfRequest(events, v.ID)
		}
	}
	return c
}

// findings collects violations.
type findings struct{ violations []Violation }

func (f *findings) violate(rule Rule, event Seen, format string, args ...any) {
	f.violations = append(f.violations, Violation{Rule: rule, At: event.At, ID: event.ID, Text: fmt.Sprintf(format, args...)})
}

// processHistory is when proxy processes were killed and paused.
type processHistory struct {
	kills  map[int][]time.Duration // by proxy; one that was told to end has to answer first, and counts as running
	pauses map[int][]time.Duration // by proxy, the begins and ends in turn
}

// newProcessHistory collects the history before the events are checked, since connections are seen to end before their process is.
func newProcessHistory(events []Seen) *processHistory {
	h := &processHistory{kills: map[int][]time.Duration{}, pauses: map[int][]time.Duration{}}
	for _, e := range events {
		switch {
		case e.What == Paused:
			h.pauses[e.Proxy] = append(h.pauses[e.Proxy], e.At)
		case e.What == Ended && e.Note == endKilled:
			h.kills[e.Proxy] = append(h.kills[e.Proxy], e.At)
		}
	}
	return h
}

// wasPaused reports whether a proxy was paused at some time within a span: it could answer nothing then.
func (h *processHistory) wasPaused(proxy int, from, to time.Duration) bool {
	p := h.pauses[proxy]
	for i := 0; i < len(p); i += 2 {
		if p[i] <= to && (i+1 == len(p) || p[i+1] >= from) {
			return true
		}
	}
	return false
}

// wasKilled reports whether a proxy was killed within a span: what it held then is lost.
func (h *processHistory) wasKilled(proxy int, from, to time.Duration) bool {
	return slices.ContainsFunc(h.kills[proxy], func(at time.Duration) bool { return at >= from && at <= to })
}

// proxyNode is a node as one proxy knows it.
type proxyNode struct {
	proxy int
	node  string
}

// checker checks all rules, one event after the other.
type checker struct {
	*findings
	answers   answerCheck
	absence   absenceCheck
	effects   effectCheck
	drains    drainCheck
	slowStart slowStartCheck
	quota     quotaCheck
}

func newChecker(scenario *Day, requests []Request, processes *processHistory) *checker {
	routes, keys := map[string]Route{}, map[string]string{}
	for _, request := range requests {
		routes[request.ID], keys[request.ID] = scenario.Routes[request.Route], request.Key
	}
	found := &findings{}
	return &checker{
		findings: found,
		answers: answerCheck{
			findings: found, processes: processes, routes: routes, lastAsked: map[string]Seen{}, count: map[string]int{},
			abandoned: map[string]bool{},
		},
		absence: absenceCheck{findings: found, processes: processes, scenario: scenario, keys: keys, firstWritten: map[string]time.Duration{}},
		effects: effectCheck{findings: found, runs: map[string]int{}},
		drains:  drainCheck{findings: found, processes: processes, since: map[proxyNode]time.Duration{}},
		slowStart: slowStartCheck{
			findings: found, fleet: scenario.Fleet, begins: map[string]Seen{}, arrivals: map[string][]arrival{},
			startKnown: map[proxyNode]bool{}, overloaded: map[string]bool{},
		},
		quota: quotaCheck{findings: found, reports: map[int][]Seen{}},
	}
}

func (c *checker) observe(e Seen) {
	c.answers.last = e.At
	switch e.What {
	case Asked:
		c.answers.observeAsked(e)
	case Answered:
		c.observeAnswer(e)
	case Went:
		c.answers.abandoned[e.ID] = true
	case Closed:
		c.answers.observeClosed(e)
	case Took:
		c.drains.observeArrival(e)
		c.slowStart.observeArrival(e)
	case Ran:
		c.absence.observeWrite(e)
		c.effects.observeWrite(e)
	case Told:
		c.drains.observeDelivery(e)
		c.slowStart.observeDelivery(e)
	case Began:
		c.slowStart.observeBegin(e)
	case Shared:
		c.quota.observeReport(e)
	case Ended:
		delete(c.quota.reports, e.Proxy)
		if e.Note == endCrashed {
			c.violate(CrashRule, e, "proxy %d crashed", e.Proxy)
		}
	}
}

func (c *checker) observeAnswer(e Seen) {
	if !c.answers.observeAnswer(e) {
		return
	}
	completed := e.Note == string(Completed)
	switch {
	case completed && e.Node == noSuchKey:
		c.absence.observeAbsent(e, c.answers.lastAsked[e.ID].At)
	case completed && e.Made != e.ID:
		c.violate(OwnValueRule, e, "request %s was answered with a value made for %q", e.ID, e.Made)
	}
}

// answerCheck checks FinalAnswerRule.
type answerCheck struct {
	*findings
	processes *processHistory
	routes    map[string]Route // by request
	lastAsked map[string]Seen  // by request
	count     map[string]int   // of answers, by request
	abandoned map[string]bool  // requests whose client left, or whose connection was closed and not asked again
	last      time.Duration    // time of the latest event
}

func (a *answerCheck) observeAsked(e Seen) {
	a.lastAsked[e.ID] = e
	delete(a.abandoned, e.ID)
}

// observeClosed counts one violation for each request.
func (a *answerCheck) observeClosed(e Seen) {
	if a.abandoned[e.ID] || a.count[e.ID] > 0 || e.Note == noteReused || a.processes.wasKilled(e.Proxy, e.At-killWindow, e.At+killWindow) {
		return
	}
	a.abandoned[e.ID] = true
	a.violate(FinalAnswerRule, e, "proxy %d ended the connection under request %s", e.Proxy, e.ID)
}

// observeAnswer reports whether it is the first answer to a request that was asked.
func (a *answerCheck) observeAnswer(e Seen) bool {
	if a.count[e.ID]++; a.count[e.ID] > 1 {
		a.violate(FinalAnswerRule, e, "request %s was answered %d times", e.ID, a.count[e.ID])
		return false
	}
	asked, ok := a.lastAsked[e.ID]
	if !ok {
		a.violate(FinalAnswerRule, e, "request %s was answered and never asked", e.ID)
		return false
	}
	limit := millis(a.routes[e.ID].Overall) + timingSlack
	if elapsed := e.At - asked.At; elapsed > limit && !a.processes.wasPaused(e.Proxy, asked.At, e.At) {
		a.violate(FinalAnswerRule, e, "request %s was answered after %v, later than %v", e.ID, elapsed, limit)
	}
	return true
}

// checkUnanswered looks at the end for requests that had their whole timeout and no answer.
func (a *answerCheck) checkUnanswered() {
	for id, e := range a.lastAsked {
		end := e.At + millis(a.routes[id].Overall) + timingSlack
		if a.count[id] > 0 || a.abandoned[id] || a.last < end {
			continue
		}
		if !a.processes.wasKilled(e.Proxy, e.At-killWindow, end) && !a.processes.wasPaused(e.Proxy, e.At, end) {
			a.violate(FinalAnswerRule, e, "request %s never was answered by proxy %d", id, e.Proxy)
		}
	}
}

// absenceCheck checks FreshAbsenceRule.
type absenceCheck struct {
	*findings
	processes    *processHistory
	scenario     *Day
	keys         map[string]string        // by request
	firstWritten map[string]time.Duration // by key
	maxStaleness time.Duration            // the longest for which a key was reported missing after it was written
}

func (a *absenceCheck) observeWrite(e Seen) {
	if _, ok := a.firstWritten[a.keys[e.ID]]; !ok {
		a.firstWritten[a.keys[e.ID]] = e.At
	}
}

// observeAbsent checks an answer that there is no such key to a request that was asked at a moment.
func (a *absenceCheck) observeAbsent(e Seen, askedAt time.Duration) {
	key, limit := a.keys[e.ID], a.scenario.maxAbsentStaleness()
	written, ok := a.firstWritten[key]
	if !ok && hashedFloat("missing", key) >= a.scenario.Missing.Part {
		a.violate(FreshAbsenceRule, e, "key %s of request %s was always there, and is called missing", key, e.ID)
		return
	}
	staleness := askedAt - written
	if !ok || staleness <= 0 {
		return
	}
	a.maxStaleness = max(a.maxStaleness, staleness)
	if staleness > limit && !a.processes.wasPaused(e.Proxy, written, e.At) {
		a.violate(FreshAbsenceRule, e, "key %s of request %s is called missing %v after it was written, over %v", key, e.ID, staleness, limit)
	}
}

// effectCheck checks SingleEffectRule.
type effectCheck struct {
	*findings
	runs map[string]int // by idempotency key, or by request where it has none
}

func (c *effectCheck) observeWrite(e Seen) {
	write := e.Note
	if write == "" {
		write = e.ID
	}
	if c.runs[write]++; c.runs[write] > 1 {
		c.violate(SingleEffectRule, e, "write %s was carried out %d times", write, c.runs[write])
	}
}

// drainCheck checks DrainRule.
type drainCheck struct {
	*findings
	processes *processHistory
	since     map[proxyNode]time.Duration // when a proxy was notified of a drain that lasts
}

func (d *drainCheck) observeDelivery(e Seen) {
	node := proxyNode{e.Proxy, e.Node}
	if e.Note == statusActive {
		delete(d.since, node)
	} else if _, draining := d.since[node]; !draining {
		d.since[node] = e.At
	}
}

func (d *drainCheck) observeArrival(e Seen) {
	since, draining := d.since[proxyNode{e.Proxy, e.Node}]
	if !draining {
		return
	}
	p := d.processes.pauses[e.Proxy]
	for i := 0; i+1 < len(p); i += 2 { // what is delivered to a paused process it reads when it continues
		if since >= p[i]-drainGrace && since <= p[i+1] {
			since = max(since, p[i+1])
		}
	}
	if e.At > since+drainGrace+timingSlack {
		d.violate(DrainRule, e, "node %s took request %s from proxy %d %v after that was told", e.Node, e.ID, e.Proxy, e.At-since)
	}
}

// arrival is a command that a node received.
type arrival struct {
	at       time.Duration
	informed bool // its proxy had been notified of the node's start
}

// slowStartCheck checks SlowStartRule.
type slowStartCheck struct {
	*findings
	fleet      Fleet
	begins     map[string]Seen      // by node, its latest slow start
	arrivals   map[string][]arrival // by node, of the last overloadWindow
	startKnown map[proxyNode]bool   // a proxy was notified of a node's latest start
	overloaded map[string]bool      // nodes whose further load tells nothing
	peak       float64              // greatest load, as a part of what overloads
}

func (s *slowStartCheck) observeBegin(e Seen) {
	s.begins[e.Node] = e
	s.arrivals[e.Node] = nil
	for known := range s.startKnown {
		if known.node == e.Node {
			delete(s.startKnown, known)
		}
	}
}

func (s *slowStartCheck) observeDelivery(e Seen) {
	if e.Note == statusActive {
		s.startKnown[proxyNode{e.Proxy, e.Node}] = true
	}
}

// observeArrival counts an overload as a violation where more than two thirds of the commands came from proxies that knew of the
// node's start.
func (s *slowStartCheck) observeArrival(e Seen) {
	begin, starting := s.begins[e.Node]
	if !starting || s.overloaded[e.Node] || e.At > begin.At+seconds(s.fleet.Cold) {
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
		s.violate(SlowStartRule, Seen{At: e.At},
			"node %s, cold for %v, took %d commands in %v, %d of them from proxies that knew; %.0f are allowed",
			e.Node, e.At-begin.At, len(recent), overloadWindow, informed, limit)
	}
}

// limit returns how many commands within overloadWindow a node bears at an age, by its full capacity in commands a second.
func (s *slowStartCheck) limit(age time.Duration, commandsPerSecond float64) float64 {
	speed := s.fleet.ColdFrom
	if slowStart := seconds(s.fleet.Cold); slowStart > 0 {
		speed += (1 - speed) * float64(age) / float64(slowStart)
	}
	mean := overloadMultiple * speed * commandsPerSecond * overloadWindow.Seconds()
	return mean + 2*math.Sqrt(mean) + 2
}

// quotaWindow is the time over which the least quota that a proxy reported counts.
const quotaWindow = time.Second

// quotaCheck checks QuotaRule.
type quotaCheck struct {
	*findings
	reports  map[int][]Seen // by proxy that runs, of the last quotaWindow
	exceeded bool           // one violation is enough
}

// observeReport adds up the least quota that each proxy reported within the window: proxies are polled one after the other, and a
// quota that shrinks makes room for another that grows.
func (q *quotaCheck) observeReport(e Seen) {
	recent := append(q.reports[e.Proxy], e) //nolint:gocritic // stored below
	for recent[0].At < e.At-quotaWindow {
		recent = recent[1:]
	}
	q.reports[e.Proxy] = recent
	sum := 0.0
	for _, reports := range q.reports {
		least := 1.0
		for _, report := range reports {
			least = min(least, report.Figure)
		}
		sum += least
	}
	if sum > maxQuotaSum && !q.exceeded {
		q.exceeded = true
		q.violate(QuotaRule, Seen{At: e.At}, "%d proxies say that they may use %.3f of the fleet's limits", len(q.reports), sum)
	}
}
