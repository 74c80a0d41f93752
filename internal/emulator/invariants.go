package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is an invariant. Its value is the name that reports print.
type Rule string

// Rules that are checked in every scenario.
const (
	// FinalReplyRule requires that each accepted request receives one reply before its overall timeout, and nothing after it.
	FinalReplyRule Rule = "one final reply"
	// CutOffRule requires that a proxy does not reject a request while a node is sending the response to it.
	CutOffRule Rule = "no response cut off"
	// OwnValueRule requires that the value in a reply was made for the request of the reply.
	OwnValueRule Rule = "value of its own request"
	// SingleEffectRule requires that a write is executed once.
	SingleEffectRule Rule = "no duplicate effect"
	// ResendRule requires that a request that must not be executed twice is not sent again while an earlier attempt may run or
	// has run.
	ResendRule Rule = "no second attempt of what may have run"
	// RefusedEffectRule requires that a request that must not be executed twice is not rejected as not executed if it was
	// executed.
	RefusedEffectRule Rule = "no refusal of what ran"
	// DrainRule requires that a draining node receives nothing once drainGrace has passed since its proxy was notified.
	DrainRule Rule = "drains observed"
	// SlowStartRule requires that a node in slow start is not overloaded.
	SlowStartRule Rule = "no overload in slow start"
	// CrashRule requires that no proxy process ends by itself.
	CrashRule Rule = "no crash"
	// FreshAbsenceRule requires that no key that exists is reported absent for longer than maxAbsentStaleness after it was
	// written.
	FreshAbsenceRule Rule = "no outdated absence"
	// LateAttemptRule requires that no attempt begins more than lateAttemptGrace after the client of its request left or
	// received the reply.
	LateAttemptRule Rule = "no attempt after the end"
	// SentDeadlineRule requires that no attempt is sent with a deadline more than sentDeadlineSlack beyond that of the client.
	SentDeadlineRule Rule = "sent deadlines hold"
	// ReadyRule requires that a proxy process serves within readyTimeout after its start.
	ReadyRule Rule = "ready in time"
	// MemoryRule requires that no proxy process uses more memory than its limit.
	MemoryRule Rule = "memory limit"
	// DescriptorRule requires that no proxy process has more descriptors open than its limit.
	DescriptorRule Rule = "descriptor limit"
	// HungRule requires that no proxy process leaves pings without a reply for longer than hungTimeout, except while it is
	// paused.
	HungRule Rule = "no hang"
	// InventedRule requires that neither a cache nor the origin receives a command that no client has sent.
	InventedRule Rule = "no invented command"
	// BadClientRule requires that a client that sends an invalid or incomplete command receives an error or the end of its
	// connection in time.
	BadClientRule Rule = "bad clients rejected"
	// InvariantRule requires that no proxy logs a violation of one of its own invariants, or a panic.
	InvariantRule Rule = "proxies' own invariants"
	// ResidueRule requires that a proxy whose clients have all left holds no requests, bytes or streams of theirs.
	ResidueRule Rule = "no residue"
	// QuotaRule requires that the quotas that running proxies report add up to at most the fleet's limits.
	QuotaRule Rule = "quotas within limits"
)

// Tolerances of the rules.
const (
	timingSlack      = 50 * time.Millisecond // for delays of the machine
	drainGrace       = 300 * time.Millisecond
	drainGraceBroken = 2 * time.Second // if connections break: a written request may be lost and is then sent again
	overloadWindow   = time.Second     // over which the load of a node is measured
	overloadMultiple = 3.0             // of the capacity of a node in slow start, beyond which it is overloaded
	deliveryDeadline = 6 * time.Second // after which a change in discovery counts as delivered
	killWindow       = time.Second     // between the kill of a proxy and the end of a client's connection
	maxQuotaSum      = 1.001           // of all proxies, including rounding errors
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule
	At     time.Duration
	ID     string // of the request; "" if the violation concerns no single request
	Text   string
	Events []Event // of the request
}

// String returns the violation on one line, followed by one line for each of its events.
func (v Violation) String() string {
	s := fmt.Sprintf("%s: %.3f s: %s", v.Rule, v.At.Seconds(), v.Text)
	for _, e := range v.Events {
		s += fmt.Sprintf("\n    %.4f s %s proxy %d %s %s", e.At.Seconds(), e.Kind, e.Proxy, e.Node, e.Note)
	}
	return s
}

// CheckInvariants returns the violations in the events of a scenario, ordered by time.
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
	c.replies.checkEndedAmidReply()
	c.cutOffs.checkAll()
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

// proxyNode identifies a node from the view of one proxy.
type proxyNode struct {
	proxy int
	node  string
}

// checker checks all rules, one event at a time.
type checker struct {
	*findings
	replies   replyCheck
	cutOffs   cutOffCheck
	ownValues ownValueCheck
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
			abandoned: map[string]bool{}, forwarded: map[string]bool{}, broken: map[string]bool{}, breaksConns: scenario.breaksConns(),
		},
		cutOffs:   newCutOffCheck(found, processes, scenario),
		ownValues: ownValueCheck{findings: found, lateSurplus: scenario.sendsLateSurplus(), foreign: map[proxyNode]bool{}},
		attempts: attemptCheck{
			findings: found, processes: processes, routes: routes, sentAt: map[string]time.Duration{}, endedAt: map[string]time.Duration{},
			linksDelayed: scenario.delaysLinks(),
		},
		process: processCheck{findings: found, processes: processes, nodes: scenario.Fleet.Nodes},
		absence: absenceCheck{findings: found, processes: processes, scenario: scenario, keys: keys, firstWritten: map[string]time.Duration{}},
		effects: effectCheck{
			findings: found, processes: processes, routes: routes, executions: map[string]int{}, kills: map[string]int{},
			open: map[string]int{}, rejected: map[string]bool{},
		},
		drains: drainCheck{findings: found, processes: processes, drainingSince: map[proxyNode]time.Duration{}, grace: scenario.drainGrace()},
		slowStart: slowStartCheck{
			findings: found, fleet: scenario.Fleet, starts: map[string]Event{}, arrivals: map[string][]arrival{},
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
		c.effects.observeRequest(e)
		c.attempts.observeRequest(e)
	case ReplyReceived:
		c.observeReply(e)
	case ClientLeft:
		c.replies.abandoned[e.RequestID] = true
		c.attempts.observeEnd(e)
	case ConnectionClosed:
		c.replies.observeConnectionClosed(e)
		c.effects.observeConnectionClosed(e)
	case AttemptReceived:
		c.observeArrival(e)
	case ResponseBroken, ResponseCutOff:
		c.observeBreak(e)
	case AttemptRefused:
		c.effects.observeRefusal(e)
	case ReadExecuted:
		c.effects.observeExecution(e)
	case WriteExecuted:
		c.absence.observeWrite(e)
		c.effects.observeExecution(e)
	case StatusDelivered:
		c.drains.observeDelivery(e)
		c.slowStart.observeDelivery(e)
	case SlowStartBegan:
		c.slowStart.observeBegin(e)
	case ProcessNotReady, CounterReported, LogReported, BadClientIgnored, LimitExceeded, ProcessHung, CommandInvented:
		c.process.observe(e)
	case QuotaReported:
		c.quota.observeReport(e)
	case ProcessEnded:
		c.observeProcessEnd(e)
	}
}

// observeArrival records that a node has received an attempt.
func (c *checker) observeArrival(e Event) {
	c.replies.forwarded[e.RequestID] = true
	c.cutOffs.observeArrival(e)
	c.attempts.observeArrival(e)
	c.drains.observeArrival(e)
	c.slowStart.observeArrival(e)
	c.effects.observeArrival(e)
}

// observeBreak records that the response to a request broke off.
func (c *checker) observeBreak(e Event) {
	if e.Kind == ResponseBroken {
		c.replies.broken[e.RequestID] = true
	} else {
		c.cutOffs.cutOff = append(c.cutOffs.cutOff, e)
	}
}

func (c *checker) observeProcessEnd(e Event) {
	delete(c.quota.reports, e.Proxy)
	c.ownValues.observeProcessEnd(e.Proxy)
	if e.Note == endCrashed {
		c.violate(CrashRule, e, "proxy %d crashed", e.Proxy)
	}
}

func (c *checker) observeReply(e Event) {
	c.attempts.observeEnd(e)
	if !c.replies.observeReply(e) {
		return
	}
	c.effects.observeReply(e)
	c.cutOffs.observeReply(e)
	completed := e.Note == string(Completed)
	switch {
	case completed && e.Node == noSuchKey:
		c.absence.observeAbsent(e, c.replies.lastSent[e.RequestID].At)
	case completed:
		c.ownValues.observeValue(e)
	}
}
