package lifecycle_test

import (
	"fmt"
	"testing"
	"time"

	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
)

// step is an event of one request with two attempts.
type step int

const (
	firstBegins step = iota
	firstResponds
	secondBegins
	secondResponds
	clientLeaves
	endpointDrains
	windowCloses
	numSteps
)

// stepInterval is longer than any delay that the invariants tolerate.
const stepInterval = time.Second

// model executes the events of one request in one order. If enforce is false, it begins attempts and decides replies
// without consulting package lifecycle.
type model struct {
	enforce       bool
	checker       *invariant.Checker
	now           time.Time
	request       lifecycle.Request
	endedAt       time.Time
	drainingSince time.Time
	windowEnd     time.Time // end of the deduplication window; zero: the window is open
	begun         [2]bool
	replies       int
}

func (m *model) apply(s step) {
	m.now = m.now.Add(stepInterval)
	switch s {
	case firstBegins, secondBegins:
		m.begin(int(s) / 2)
	case firstResponds, secondResponds:
		if m.begun[int(s)/2] {
			m.reply()
		}
	case clientLeaves:
		m.end(lifecycle.ClientLeft)
	case endpointDrains:
		m.drainingSince = m.now
	case windowCloses:
		m.windowEnd = m.now
	}
}

func (m *model) begin(attempt int) {
	isRetry := m.begun[1-attempt]
	conditions := lifecycle.AttemptConditions{
		Request: m.request.State(), EndpointReady: m.drainingSince.IsZero(), Now: m.now, Deadline: m.now.Add(stepInterval),
	}
	if isRetry {
		conditions.DedupWindowEnd = m.windowEnd
	}
	if m.enforce && !conditions.MayBegin().Permitted() {
		return
	}
	m.begun[attempt] = true
	m.checker.AttemptStarted(&invariant.AttemptStart{
		At: m.now, RequestEnded: m.endedAt, EndpointDraining: m.drainingSince, DedupWindowEnd: conditions.DedupWindowEnd,
	})
}

func (m *model) reply() {
	if m.enforce && m.request.Finished() {
		return
	}
	m.replies++
	m.checker.ReplyDecided(nil, m.replies)
	m.end(lifecycle.ReplyDecided)
}

func (m *model) end(event lifecycle.RequestEvent) {
	if m.endedAt.IsZero() {
		m.endedAt = m.now
	}
	_ = m.request.Apply(event) // the checker counts a second reply
}

// permute calls f with each permutation of steps[k:].
func permute(steps []step, k int, f func([]step)) {
	if k == len(steps) {
		f(steps)
		return
	}
	for i := k; i < len(steps); i++ {
		steps[k], steps[i] = steps[i], steps[k]
		permute(steps, k+1, f)
		steps[k], steps[i] = steps[i], steps[k]
	}
}

// runAllOrders runs every order of every set of steps and returns the number of orders.
func runAllOrders(t *testing.T, enforce bool) (orders int) {
	t.Helper()
	failed := 0
	for set := range 1 << numSteps {
		var steps []step
		for s := range numSteps {
			if set&(1<<s) != 0 {
				steps = append(steps, s)
			}
		}
		permute(steps, 0, func(order []step) {
			orders++
			checker := invariant.NewChecker(nil)
			m := &model{enforce: enforce, checker: checker, now: time.Unix(1000, 0)}
			for _, s := range order {
				m.apply(s)
			}
			if checker.Total() > 0 {
				failed++
				if enforce {
					t.Fatalf("order %v violates an invariant", order)
				}
			}
		})
	}
	if !enforce && failed == 0 {
		t.Error("no order violates an invariant without lifecycle decisions: the checker detects nothing")
	}
	return orders
}

// No order of up to seven events violates an invariant if package lifecycle is consulted before each step. Without it,
// some orders do.
func TestAllOrders(t *testing.T) {
	if orders := runAllOrders(t, true); orders < 13000 {
		t.Errorf("got %d orders, want at least 13000", orders)
	}
	runAllOrders(t, false)
}

// Each condition by itself causes a refusal with its own reason.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	good := lifecycle.AttemptConditions{EndpointReady: true, Now: now, Deadline: now.Add(time.Second)}
	with := func(change func(*lifecycle.AttemptConditions)) lifecycle.AttemptConditions {
		c := good
		change(&c)
		return c
	}
	for _, test := range []struct {
		conditions lifecycle.AttemptConditions
		want       lifecycle.Refusal
	}{
		{good, lifecycle.Permitted},
		{with(func(c *lifecycle.AttemptConditions) { c.Canceled = true }), lifecycle.AttemptCanceled},
		{with(func(c *lifecycle.AttemptConditions) { c.Request = lifecycle.RequestReplied }), lifecycle.RequestAnswered},
		{with(func(c *lifecycle.AttemptConditions) { c.Request = lifecycle.RequestAbandoned }), lifecycle.ClientGone},
		{with(func(c *lifecycle.AttemptConditions) { c.EndpointReady = false }), lifecycle.EndpointNotReady},
		{with(func(c *lifecycle.AttemptConditions) { c.DedupWindowEnd = now }), lifecycle.DedupWindowClosed},
		{with(func(c *lifecycle.AttemptConditions) { c.DedupWindowEnd = now.Add(1) }), lifecycle.Permitted},
		{with(func(c *lifecycle.AttemptConditions) { c.Deadline = now }), lifecycle.DeadlineExceeded},
	} {
		if got := test.conditions.MayBegin(); got != test.want {
			t.Errorf("%+v: got %v, want %v", test.conditions, got, test.want)
		}
	}
	late := good
	if got := late.MayComplete(now.Add(-lifecycle.MaxWriteDelay - 1)); got != lifecycle.DeadlineOutdated {
		t.Errorf("after a write that took too long: got %v", got)
	}
	early := good
	early.ResponseReceived = true
	if got := early.MayComplete(now); got != lifecycle.UnexpectedInput {
		t.Errorf("after a response before the last byte: got %v", got)
	}
	if got := late.MayComplete(now.Add(-lifecycle.MaxWriteDelay)); got != lifecycle.Permitted {
		t.Errorf("after a write within MaxWriteDelay: got %v", got)
	}
}

// A second final reply is refused in the state that has a final reply, and the client may leave in any state.
func TestRequestTransitions(t *testing.T) {
	for _, test := range []struct {
		events []lifecycle.RequestEvent
		want   lifecycle.RequestState
		fails  bool
	}{
		{nil, lifecycle.RequestPending, false},
		{[]lifecycle.RequestEvent{lifecycle.ReplyDecided}, lifecycle.RequestReplied, false},
		{[]lifecycle.RequestEvent{lifecycle.ReplyDecided, lifecycle.ClientLeft}, lifecycle.RequestReplied, false},
		{[]lifecycle.RequestEvent{lifecycle.ReplyDecided, lifecycle.ReplyDecided}, lifecycle.RequestReplied, true},
		{[]lifecycle.RequestEvent{lifecycle.ClientLeft}, lifecycle.RequestAbandoned, false},
		{[]lifecycle.RequestEvent{lifecycle.ClientLeft, lifecycle.ReplyDecided}, lifecycle.RequestAbandoned, false},
		{[]lifecycle.RequestEvent{lifecycle.ClientLeft, lifecycle.ClientLeft}, lifecycle.RequestAbandoned, false},
	} {
		var request lifecycle.Request
		var err error
		for _, event := range test.events {
			err = request.Apply(event)
		}
		if request.State() != test.want || (err != nil) != test.fails {
			t.Errorf("%v: got state %v, error %v", test.events, request.State(), err)
		}
	}
}

// For every combination of conditions, a client connection may be closed only if no pending reply, partial command or
// unread input is lost.
func TestClientConnConditions(t *testing.T) {
	for bits := range 1 << 7 {
		bit := func(i int) bool { return bits&(1<<i) != 0 }
		c := lifecycle.ClientConnConditions{
			Phase: lifecycle.ClosePhase(bits & 3), PendingReplies: bits >> 2 & 1, MaxPending: 1,
			AnsweredRequest: bit(3), CommandPartial: bit(4), InputUnread: bit(5),
		}
		losesData := c.PendingReplies > 0 || c.CommandPartial || c.InputUnread
		if c.MayClose().Permitted() && (losesData || c.Phase == lifecycle.PhaseOpen) {
			t.Errorf("%+v: may be closed", c)
		}
		if c.MayCloseUnread().Permitted() && (c.PendingReplies > 0 || c.Phase != lifecycle.PhaseStopReading) {
			t.Errorf("%+v: may be closed unread", c)
		}
		if c.MayExpire().Permitted() && (c.InputUnread || c.PendingReplies > 0 && !c.CommandPartial) {
			t.Errorf("%+v: may expire", c)
		}
		if c.MayRead().Permitted() == (c.Phase == lifecycle.PhaseStopReading || c.PendingReplies > 0) {
			t.Errorf("%+v: may read: %v", c, c.MayRead())
		}
	}
}

// The remaining decisions have few conditions, and each of them affects the result.
func TestOtherDecisions(t *testing.T) {
	type decision interface{ fmt.Stringer }
	for _, test := range []struct{ got, want decision }{
		{(&lifecycle.UpstreamConnConditions{}).MayReuse(), lifecycle.Permitted},
		{(&lifecycle.UpstreamConnConditions{ResponsePending: true}).MayReuse(), lifecycle.ResponseIncomplete},
		{(&lifecycle.UpstreamConnConditions{UnexpectedInput: true}).MayReuse(), lifecycle.UnexpectedInput},
		{(&lifecycle.UpstreamConnConditions{ClosedByUpstream: true}).MayReuse(), lifecycle.ConnectionClosed},
		{(&lifecycle.UpstreamConnConditions{Served: 1, SinceResponse: lifecycle.ResponseRest - 1}).MayReuse(), lifecycle.ResponseRecent},
		{(&lifecycle.UpstreamConnConditions{Served: 1, SinceResponse: lifecycle.ResponseRest}).MayReuse(), lifecycle.Permitted},
		{(&lifecycle.UpstreamConnConditions{Served: 1, SinceResponse: lifecycle.ResponseRest, HostDistrusted: true}).MayReuse(), lifecycle.HostDistrusted},
		{(&lifecycle.UpstreamConnConditions{HostDistrusted: true}).MayReuse(), lifecycle.Permitted},
		{(&lifecycle.ResponseConditions{Served: 1}).MayAttribute(), lifecycle.Permitted},
		{(&lifecycle.ResponseConditions{Served: 1, HostDistrusted: true}).MayAttribute(), lifecycle.HostDistrusted},
		{(&lifecycle.ResponseConditions{HostDistrusted: true}).MayAttribute(), lifecycle.Permitted},
		{(&lifecycle.ResponseConditions{Served: 1, Repeatable: true}).MayConfirmNotExecuted(), lifecycle.Permitted},
		{(&lifecycle.ResponseConditions{Served: 1}).MayConfirmNotExecuted(), lifecycle.ResponseUncertain},
		{(&lifecycle.ResponseConditions{Served: 1, Repeatable: true, HostDistrusted: true}).MayConfirmNotExecuted(), lifecycle.HostDistrusted},
		{(&lifecycle.ResponseConditions{HostDistrusted: true}).MayConfirmNotExecuted(), lifecycle.Permitted},
		{(&lifecycle.SurplusConditions{Served: 1, SinceResponse: lifecycle.ResponseRest}).DistrustPeriod(), lifecycle.PromptDistrustPeriod},
		{(&lifecycle.SurplusConditions{Served: 1, SinceResponse: lifecycle.ResponseRest + 1}).DistrustPeriod(), lifecycle.LateDistrustPeriod},
		{(&lifecycle.SurplusConditions{Served: 2}).DistrustPeriod(), lifecycle.DistrustPeriod},
		{(&lifecycle.WatchConditions{}).MayOpen(), lifecycle.Permitted},
		{(&lifecycle.WatchConditions{Open: true}).MayOpen(), lifecycle.WatchOpen},
		{(&lifecycle.WatchConditions{Delegated: true}).MayOpen(), lifecycle.WatchDelegated},
		{(&lifecycle.ExitConditions{}).MayExit(), lifecycle.Permitted},
		{(&lifecycle.ExitConditions{Accepting: true}).MayExit(), lifecycle.ConnectionsOpen},
		{(&lifecycle.ExitConditions{OpenConnections: 1}).MayExit(), lifecycle.ConnectionsOpen},
		{(&lifecycle.ExitConditions{OpenConnections: 1, DeadlineExceeded: true}).MayExit(), lifecycle.Permitted},
	} {
		if test.got != test.want {
			t.Errorf("got %v, want %v", test.got, test.want)
		}
	}
	for r := range lifecycle.NumRefusals {
		if lifecycle.Refusal(r).String() == "" {
			t.Errorf("refusal %d has no text", r)
		}
	}
}
