package lifecycle_test

import (
	"testing"
	"time"

	"woodproxy/internal/invariant"
	"woodproxy/internal/lifecycle"
)

// connStep is an event of the connections to one host. The first request has been written when the events begin.
type connStep int

const (
	serverResponds connStep = iota // the response to the oldest unanswered request on the connection
	promptSurplus                  // one more response, up to 50 ms behind the response before it
	lateSurplus                    // one more response, at any time
	nextAssigned                   // the next request is written, on the same connection if that may carry it
	afterNextAssigned
	attemptCanceled
	serverCloses
	endpointLeaves
	connectionRests
	numConnSteps
)

// maxConnSteps is the number of events of one order.
const maxConnSteps = 6

// connModel executes the events of the connections to one host in one order. Each response says that its request was not
// executed. If enforce is false, it uses connections and believes responses without consulting package lifecycle.
type connModel struct {
	enforce    bool
	repeatable bool
	checker    *invariant.Checker
	now        time.Time
	ready      bool // the endpoint is listed
	distrusted bool

	conn          int // number of the connection that is open, 0: none
	conns         int // number of connections so far
	served        int // responses read on the open connection
	lastRead      time.Time
	lastSent      time.Time // end of the last response that the server sent on the open connection
	unanswered    []int     // requests on the open connection that the server has not responded to
	waiting       int       // request whose response the proxy reads next, 0: the connection is idle
	requests      int
	promptWrong   int // values of other requests that were believed, of responses up to 50 ms late
	falseRefusals int // requests that were taken as not executed on the word of another request's response
}

func (m *connModel) apply(s connStep) {
	m.now = m.now.Add(time.Millisecond)
	switch s {
	case serverResponds:
		if m.conn != 0 && len(m.unanswered) > 0 {
			request := m.unanswered[0]
			m.unanswered = m.unanswered[1:]
			m.receive(request, 0)
		}
	case promptSurplus, lateSurplus:
		late := m.now.Sub(m.lastSent)
		if m.conn != 0 && !m.lastSent.IsZero() && (s == lateSurplus || late <= invariant.MinResponseRest) {
			m.receive(0, late)
		}
	case nextAssigned, afterNextAssigned:
		m.assign()
	case attemptCanceled, serverCloses:
		m.close()
	case endpointLeaves:
		m.ready = false
	case connectionRests:
		m.now = m.now.Add(lifecycle.ResponseRest)
	}
}

func (m *connModel) close() {
	m.conn, m.waiting, m.unanswered, m.lastSent = 0, 0, nil, time.Time{}
}

// assign writes the next request, unless one is in flight.
func (m *connModel) assign() {
	if m.waiting != 0 || m.enforce && !m.ready {
		return
	}
	conditions := lifecycle.UpstreamConnConditions{Served: m.served, SinceResponse: m.now.Sub(m.lastRead), HostDistrusted: m.distrusted}
	if m.conn != 0 && m.enforce && !conditions.MayReuse().Permitted() {
		m.close()
	}
	if m.conn == 0 {
		m.conns++
		m.conn, m.served = m.conns, 0
	}
	m.requests++
	m.waiting, m.unanswered = m.requests, append(m.unanswered, m.requests)
	start := invariant.AttemptStart{At: m.now}
	if m.served > 0 {
		start.ConnectionRest = m.now.Sub(m.lastRead)
	}
	m.checker.AttemptStarted(&start)
}

// receive handles a response that the server sent for a request, 0 for a surplus one, which is late by the given time.
func (m *connModel) receive(request int, late time.Duration) {
	m.lastSent = m.now
	if m.waiting == 0 { // input on an idle connection
		m.distrusted = true
		m.close()
		return
	}
	conditions := lifecycle.ResponseConditions{Served: m.served, HostDistrusted: m.distrusted, Repeatable: m.repeatable}
	if m.enforce && !conditions.MayAttribute().Permitted() {
		m.close()
		return
	}
	notExecuted := !m.enforce || conditions.MayConfirmNotExecuted().Permitted()
	m.checker.ResponseBelieved(&invariant.BelievedResponse{
		Used: m.served > 0, HostDistrusted: m.distrusted, NotExecuted: notExecuted, Repeatable: m.repeatable,
	})
	if request != m.waiting {
		if late <= invariant.MinResponseRest && request == 0 {
			m.promptWrong++
		}
		if notExecuted && !m.repeatable {
			m.falseRefusals++
		}
	}
	m.served++
	m.waiting, m.lastRead = 0, m.now
}

// eachConnOrder calls f with each order of up to maxConnSteps events.
func eachConnOrder(steps []connStep, f func([]connStep)) {
	f(steps)
	if len(steps) == maxConnSteps {
		return
	}
	for s := range numConnSteps {
		eachConnOrder(append(steps, s), f)
	}
}

// In no order of up to six events of the connections to a host, repeated ones included, a response that came up to 50 ms late
// is believed for another request, or a request that must not be executed twice is taken as not executed on the word of
// another request's response, and none is believed on a used connection once a surplus one was noticed. Without package
// lifecycle, some orders do all of that.
func TestAllOrdersOfUpstreamConnection(t *testing.T) {
	for _, enforce := range []bool{true, false} {
		orders, promptWrong, falseRefusals, violations := 0, 0, 0, int64(0)
		for _, repeatable := range []bool{true, false} {
			eachConnOrder(make([]connStep, 0, maxConnSteps), func(order []connStep) {
				orders++
				checker := invariant.NewChecker(nil)
				m := &connModel{enforce: enforce, repeatable: repeatable, checker: checker, now: time.Unix(1000, 0), ready: true}
				m.assign()
				for _, s := range order {
					m.apply(s)
				}
				promptWrong, falseRefusals, violations = promptWrong+m.promptWrong, falseRefusals+m.falseRefusals, violations+checker.Total()
				if enforce && (m.promptWrong > 0 || m.falseRefusals > 0 || checker.Total() > 0) {
					t.Fatalf("order %v, repeatable %v: %d wrong values, %d false refusals, %d violations", order, repeatable, m.promptWrong, m.falseRefusals, checker.Total())
				}
			})
		}
		if !enforce && (promptWrong == 0 || falseRefusals == 0 || violations == 0) {
			t.Errorf("without package lifecycle: %d wrong values, %d false refusals, %d violations, want some of each", promptWrong, falseRefusals, violations)
		}
		t.Logf("enforced %v: %d orders", enforce, orders)
	}
}
