package emulator

import (
	"cmp"
	"fmt"
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
	// LateAttemptRule: no attempt begins over lateAttemptGrace after its request's client left or had its answer.
	LateAttemptRule Rule = "no attempt after the end"
	// ToldDeadlineRule: no attempt is told a deadline over toldDeadlineSlack beyond its client's.
	ToldDeadlineRule Rule = "deadlines told hold"
	// ReadyRule: a proxy process serves readyTimeout after its start.
	ReadyRule Rule = "ready in time"
	// MemoryRule: no proxy process uses more memory than its limit.
	MemoryRule Rule = "memory limit"
	// DescriptorRule: no proxy process has more descriptors open than its limit.
	DescriptorRule Rule = "descriptor limit"
	// HungRule: no proxy process answers nobody for longer than hungTimeout, but for its pauses.
	HungRule Rule = "answers somebody"
	// InventedRule: nothing arrives at a cache or the origin that no client has sent.
	InventedRule Rule = "nothing invented"
	// BadClientRule: a client that sends what is no command, or a part of one, is told or closed on in time.
	BadClientRule Rule = "bad clients told"
	// InvariantRule: no proxy logs a broken invariant of its own, or a panic.
	InvariantRule Rule = "proxies' own invariants"
	// ResidueRule: a proxy whose clients have all gone holds nothing of them.
	ResidueRule Rule = "nothing left behind"
	// QuotaRule: the quotas that running proxies report add up to at most the fleet's limits.
	QuotaRule Rule = "shares kept"
)

// What the rules allow.
const (
	timingSlack      = 50 * time.Millisecond // for delays of the machine
	drainGrace       = 300 * time.Millisecond
	drainGraceBroken = 2 * time.Second // where connections break: what was written may be lost, and is asked for again
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
	Events []Event // the request's
}

// String returns the violation and its events on a line each.
func (v Violation) String() string {
	s := fmt.Sprintf("%s: %.3f s: %s", v.Rule, v.At.Seconds(), v.Text)
	for _, e := range v.Events {
		s += fmt.Sprintf("\n    %.4f s %s proxy %d %s %s", e.At.Seconds(), e.Kind, e.Proxy, e.Node, e.Note)
	}
	return s
}

// CheckInvariants returns the violations in a scenario's events, ordered by time.
func CheckInvariants(scenario *Scenario, requests []Request, events []Event) []Violation {
	return checkInvariants(scenario, requests, events).violations
}

// checkInvariants checks events and returns the checker with its findings and measurements.
func checkInvariants(scenario *Scenario, requests []Request, events []Event) *checker {
	c := newChecker(scenario, requests, newProcessHistory(events))
	for _, e := range events {
		c.observe(e)
	}
	c.replies.checkUnanswered()
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

func (f *findings) violate(rule Rule, event Event, format string, args ...any) {
	f.violations = append(f.violations, Violation{Rule: rule, At: event.At, ID: event.RequestID, Text: fmt.Sprintf(format, args...)})
}

// proxyNode is a node as one proxy knows it.
type proxyNode struct {
	proxy int
	node  string
}

// checker checks all rules, one event after the other.
type checker struct {
	*findings
	replies   replyCheck
	attempts  attemptCheck
	process   processCheck
	absence   absenceCheck
	effects   effectCheck
	drains    drainCheck
	slowStart slowStartCheck
	quota     quotaCheck
}

func newChecker(scenario *Scenario, requests []Request, processes *processHistory) *checker {
	routes, keys := map[string]Route{}, map[string]string{}
	for _, request := range requests {
		routes[request.ID], keys[request.ID] = scenario.Routes[request.Route], request.Key
	}
	found := &findings{}
	return &checker{
		findings: found,
		replies: replyCheck{
			findings: found, processes: processes, routes: routes, lastSent: map[string]Event{}, replyCount: map[string]int{},
			abandoned: map[string]bool{}, forwarded: map[string]bool{},
		},
		attempts: attemptCheck{
			findings: found, processes: processes, routes: routes, sentAt: map[string]time.Duration{}, endedAt: map[string]time.Duration{},
			linksDelayed: scenario.delaysLinks(),
		},
		process: processCheck{findings: found, processes: processes, nodes: scenario.Fleet.Nodes},
		absence: absenceCheck{findings: found, processes: processes, scenario: scenario, keys: keys, firstWritten: map[string]time.Duration{}},
		effects: effectCheck{findings: found, processes: processes, executions: map[string]int{}, kills: map[string]int{}},
		drains:  drainCheck{findings: found, processes: processes, drainingSince: map[proxyNode]time.Duration{}, grace: scenario.drainGrace()},
		slowStart: slowStartCheck{
			findings: found, fleet: scenario.Fleet, begins: map[string]Event{}, arrivals: map[string][]arrival{},
			startKnown: map[proxyNode]bool{}, overloaded: map[string]bool{},
		},
		quota: quotaCheck{findings: found, reports: map[int][]Event{}},
	}
}

func (c *checker) observe(e Event) {
	c.replies.lastEventAt = e.At
	switch e.Kind {
	case RequestSent:
		c.replies.observeRequest(e)
		c.attempts.observeRequest(e)
	case ReplyReceived:
		c.observeReply(e)
	case ClientLeft:
		c.replies.abandoned[e.RequestID] = true
		c.attempts.observeEnd(e)
	case ConnectionClosed:
		c.replies.observeClosed(e)
		c.effects.observeClosed(e)
	case AttemptReceived:
		c.replies.forwarded[e.RequestID] = true
		c.attempts.observeArrival(e)
		c.drains.observeArrival(e)
		c.slowStart.observeArrival(e)
	case WriteExecuted:
		c.absence.observeWrite(e)
		c.effects.observeWrite(e)
	case StatusDelivered:
		c.drains.observeDelivery(e)
		c.slowStart.observeDelivery(e)
	case SlowStartBegan:
		c.slowStart.observeBegin(e)
	case ProcessLate, CounterReported, LogReported, BadClientIgnored, LimitExceeded, ProcessHung, CommandInvented:
		c.process.observe(e)
	case QuotaReported:
		c.quota.observeReport(e)
	case ProcessEnded:
		delete(c.quota.reports, e.Proxy)
		if e.Note == endCrashed {
			c.violate(CrashRule, e, "proxy %d crashed", e.Proxy)
		}
	}
}

func (c *checker) observeReply(e Event) {
	c.attempts.observeEnd(e)
	if !c.replies.observeReply(e) {
		return
	}
	completed := e.Note == string(Completed)
	switch {
	case completed && e.Node == noSuchKey:
		c.absence.observeAbsent(e, c.replies.lastSent[e.RequestID].At)
	case completed && e.MadeFor != e.RequestID:
		c.violate(OwnValueRule, e, "request %s was answered with a value made for %q", e.RequestID, e.MadeFor)
	}
}
