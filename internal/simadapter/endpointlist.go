package simadapter

import (
	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// bankCount is the number of endpoint lists that the protocol can store at a time.
const bankCount = 16

// Values of the readiness field of an endpoint.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
	stateDeleted  = "DELETED"
)

// Values of the mode field, which states how an instance receives an endpoint list.
const (
	modeIncremental = "INCREMENTAL" // contains only the endpoints that changed
	modeFull        = "FULL"
	modeSaved       = "SAVED"  // a full list saved before the instance started; its endpoints are not in slow start
	modeFailed      = "FAILED" // the poll for the list failed; there is no list
)

// endpoint is an entry of an endpoint list, with the simulator's names.
type endpoint struct {
	kind, name, zone, state string
	since                   balancer.Time // time of the last start; 0 if it started long ago
	weight                  float64
	cell                    int
}

// listBanks holds the registered endpoint lists by number. Each list can be sent to any instance later.
type listBanks [bankCount]struct {
	endpoints  []endpoint
	registered bool
}

// register stores an endpoint list under its number and replaces the previous list of that number.
func (b *listBanks) register(m *message) {
	number := m.count(0, "bank", jsonvalue.Required)
	if m.err == nil && number >= bankCount {
		m.fail("bank", errBankRange)
	}
	rows := m.array(1, "entries")
	if m.err != nil {
		return
	}
	endpoints := b[number].endpoints[:0]
	for _, row := range rows {
		e := readEndpoint(m, row)
		if m.err != nil {
			return
		}
		endpoints = append(endpoints, e)
	}
	b[number].endpoints, b[number].registered = endpoints, true
}

// readEndpoint reads one entry of an endpoint list. It stores an error in the message.
func readEndpoint(m *message, row *fastjson.Value) endpoint {
	cells, err := row.Array()
	if err != nil {
		m.fail("entries", errNotArray)
		return endpoint{}
	}
	const optional, required = jsonvalue.Optional, jsonvalue.Required
	entry := message{name: m.name, values: cells}
	e := endpoint{
		kind: entry.text(0, "generation-hw", optional), state: entry.text(1, "readiness", required),
		cell: entry.count(2, "stripe", optional), since: entry.time(3, "up-since", optional),
		weight: entry.number(4, "capacity-hint", optional),
		zone:   entry.text(5, "zone", optional), name: entry.text(6, "node", required),
	}
	if e.state != stateServing && e.state != stateDraining && e.state != stateDeleted {
		entry.fail("readiness", jsonvalue.ErrOutOfRange)
	}
	if e.weight < 0 {
		entry.fail("capacity-hint", jsonvalue.ErrOutOfRange)
	}
	m.err = entry.err
	return e
}

// updateEndpoints passes a registered endpoint list to an instance, or reports to it that its poll for the list failed.
func (a *adapter) updateEndpoints(in *instance, m *message) []balancer.Decision {
	m.number(1, "index", jsonvalue.Optional)
	mode := m.text(3, "mode", jsonvalue.Required)
	if mode == modeFailed && m.err == nil {
		return in.balancer.EndpointListFailed(a.now)
	}
	bank := m.count(2, "bank", jsonvalue.Required)
	switch {
	case m.err != nil:
		return nil
	case mode != modeIncremental && mode != modeFull && mode != modeSaved:
		m.fail("mode", jsonvalue.ErrOutOfRange)
		return nil
	case bank >= bankCount || !a.lists[bank].registered:
		m.fail("bank", errUnknownBank)
		return nil
	}
	list := make([]balancer.Endpoint, 0, len(a.lists[bank].endpoints))
	for i := range a.lists[bank].endpoints {
		list = append(list, in.balancerEndpoint(&a.lists[bank].endpoints[i]))
	}
	warm := mode == modeSaved || !in.hasList // the endpoints of the first list were running before the instance started
	in.hasList = true
	return in.balancer.UpdateEndpoints(a.now, balancer.EndpointUpdate{Complete: mode != modeIncremental, First: warm, Endpoints: list})
}

// balancerEndpoint translates an endpoint to the balancer's form, with the instance's indices.
func (in *instance) balancerEndpoint(e *endpoint) balancer.Endpoint {
	zone, ok := in.settings.Zones[e.zone]
	if !ok {
		zone = -1
	}
	return balancer.Endpoint{
		Index: in.nodes.index(e.name), Name: e.name, Origin: in.settings.OriginKind != "" && e.kind == in.settings.OriginKind,
		Ready: e.state == stateServing, StartedAt: e.since, Weight: e.weight, Zone: zone, Cell: e.cell,
	}
}
