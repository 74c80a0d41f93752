package simadapter

import (
	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// noTenant is the tenant index of a request without a tenant or with a tenant that is not in the settings.
const noTenant = -1

// outcomes maps the protocol's names of attempt outcomes to the balancer's outcomes.
var outcomes = map[string]balancer.Outcome{
	"pass": balancer.Completed, "fault": balancer.ServerError, "no_room": balancer.Overloaded, "too_slow": balancer.TimedOut,
	"no_route": balancer.ConnectFailed, "cut": balancer.Reset, "undone": balancer.Canceled, "stale_send": balancer.NotSent,
	"none_here": balancer.CacheMiss,
}

// requestArrived registers a new request and passes it to the balancer.
func (a *adapter) requestArrived(in *instance, m *message) []balancer.Decision {
	id := m.text(1, "txn", jsonvalue.Required)
	request := in.readRequest(m)
	if _, duplicate := in.requests.byID[id]; duplicate {
		m.fail("txn", errDuplicateID)
	}
	if m.err != nil {
		return nil
	}
	return in.balancer.Arrive(a.now, in.requests.open(id), request)
}

func (in *instance) readRequest(m *message) balancer.Request {
	m.number(2, "size", jsonvalue.Optional)
	m.number(3, "predicted", jsonvalue.Optional)
	request := balancer.Request{
		RemainingTimeout: m.time(5, "remaining", jsonvalue.Required), ClientRetry: m.flag(7, "retry"), Write: m.flag(8, "mutates"),
	}
	request.Tenant = in.readTenant(m)
	kind := m.text(6, "kind", jsonvalue.Required)
	route, ok := in.settings.Routes[kind]
	if !ok {
		m.fail("kind", errUnknownRoute)
	}
	request.Route = route
	if v := m.at(9); v != nil {
		key, err := v.Uint64()
		if err != nil {
			m.fail("route-key", jsonvalue.ErrMistyped)
		}
		request.Key, request.HasKey = key, true
	}
	return request
}

// readTenant returns the index of the request's tenant, whose name must be a string. Null or a number means no tenant.
func (in *instance) readTenant(m *message) int {
	v := m.at(4)
	switch {
	case v == nil || v.Type() == fastjson.TypeNumber:
	case v.Type() != fastjson.TypeString:
		m.fail("team", jsonvalue.ErrMistyped)
	default:
		if tenant, ok := in.settings.Tenants[string(v.GetStringBytes())]; ok {
			return tenant
		}
	}
	return noTenant
}

// streamStarted reports to the balancer that the response of an attempt has started to reach the client.
func (a *adapter) streamStarted(in *instance, m *message) []balancer.Decision {
	id := m.text(1, "txn", jsonvalue.Required)
	m.count(2, "leg", jsonvalue.Required)
	m.text(3, "node", jsonvalue.Required)
	m.number(4, "elapsed", jsonvalue.Optional)
	index, ok := in.requests.byID[id]
	if m.err != nil || !ok {
		return nil
	}
	return in.balancer.ReplyStarted(a.now, index)
}

// clientLeft finishes a request whose client has stopped waiting. Attempts of the request may still be in flight.
func (a *adapter) clientLeft(in *instance, m *message) []balancer.Decision {
	id := m.text(1, "txn", jsonvalue.Required)
	index, ok := in.requests.byID[id]
	if m.err != nil || !ok {
		return nil
	}
	decisions := in.balancer.ClientGone(a.now, index)
	in.requests.slots[index].finished = true
	in.requests.releaseIfDone(index)
	return decisions
}

// attemptFinished reports the outcome of an attempt to the balancer. It ignores an attempt of an unknown request, and an
// outcome beyond the number of attempts in flight.
func (a *adapter) attemptFinished(in *instance, m *message) []balancer.Decision {
	id := m.text(1, "txn", jsonvalue.Required)
	name := m.text(2, "node", jsonvalue.Required)
	m.count(3, "leg", jsonvalue.Required)
	m.number(4, "info", jsonvalue.Optional)
	elapsed := m.time(5, "elapsed", jsonvalue.Optional)
	outcomeName := m.text(6, "ending", jsonvalue.Required)
	requestFinished := m.flag(7, "ended")
	m.checkObject(8, "report")
	outcome, ok := outcomes[outcomeName]
	if !ok {
		m.fail("ending", jsonvalue.ErrOutOfRange)
	}
	node, listed := in.nodes.byName[name]
	if !listed {
		m.fail("node", errUnknownNode)
	}
	index, known := in.requests.byID[id]
	if m.err != nil || !known || in.requests.slots[index].inFlight == 0 {
		return nil
	}
	slot := &in.requests.slots[index]
	slot.inFlight--
	slot.finished = slot.finished || requestFinished
	decisions := in.balancer.AttemptFinished(a.now, balancer.AttemptResult{
		Request: index, Endpoint: node, Outcome: outcome, Latency: elapsed, Replied: requestFinished,
	})
	in.requests.releaseIfDone(index)
	return decisions
}

// timerFired calls the balancer's TimerFired if the timer is the latest one that the balancer has set.
func (a *adapter) timerFired(in *instance, m *message) []balancer.Decision {
	timer := m.integer(1, "mark")
	if m.err != nil || timer != in.timer {
		return nil
	}
	return in.balancer.TimerFired(a.now)
}

// probed validates the result of a health check probe and ignores it: the balancer uses no probe results.
func (a *adapter) probed(_ *instance, m *message) []balancer.Decision {
	m.text(1, "node", jsonvalue.Required)
	m.number(2, "elapsed", jsonvalue.Optional)
	m.text(3, "ending", jsonvalue.Required)
	m.checkObject(4, "report")
	return nil
}
