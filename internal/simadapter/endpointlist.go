package simadapter

import (
	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// bankCount is how many numbered endpoint lists the protocol has.
const bankCount = 16

// The states of an endpoint.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
	stateDeleted  = "DELETED"
)

// How an instance receives a list.
const (
	modeIncremental = "INCREMENTAL" // only the endpoints that changed
	modeFull        = "FULL"
	modeSaved       = "SAVED"  // a full list from before the instance started, whose endpoints are warm
	modeFailed      = "FAILED" // the poll for the list failed
)

// endpoint is an entry of a list, by the simulator's names.
type endpoint struct {
	kind, name, zone, state string
	since                   balancer.Time // when it last started; 0: long ago
	weight                  float64
	cell                    int
}

// listBanks holds the numbered lists, which any instance may be given later on.
type listBanks [bankCount]struct {
	endpoints  []endpoint
	registered bool
}

// register stores a list under its number, in place of the one before.
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

// readEndpoint reads one entry of a list. Its errors are those of the message.
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

// updateEndpoints gives an instance one of the numbered lists, or the failure of a poll for one.
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
		list = append(list, in.listing(&a.lists[bank].endpoints[i]))
	}
	warm := mode == modeSaved || !in.hasList // the first list has the endpoints that were there before the instance
	in.hasList = true
	return in.balancer.UpdateEndpoints(a.now, balancer.EndpointUpdate{Complete: mode != modeIncremental, First: warm, Endpoints: list})
}

// listing translates an endpoint to the balancer's indices.
func (in *instance) listing(e *endpoint) balancer.Endpoint {
	zone, ok := in.settings.Zones[e.zone]
	if !ok {
		zone = -1
	}
	return balancer.Endpoint{
		Index: in.nodes.index(e.name), Name: e.name, Origin: in.settings.OriginKind != "" && e.kind == in.settings.OriginKind,
		Ready: e.state == stateServing, StartedAt: e.since, Weight: e.weight, Zone: zone, Cell: e.cell,
	}
}
