package proxy

import (
	"cmp"
	"slices"
	"sync"

	"woodproxy/internal/wire"
)

// peerUpdate is an endpoint as another proxy's discovery reported it at an index.
type peerUpdate struct {
	index int64
	wire.Endpoint
}

// peerEndpoints is the part of the endpoint list that was received from other proxies. An endpoint from another proxy is
// used if its index is later than the index of this proxy's discovery. An endpoint that this proxy's discovery has
// reported as draining stays so until this proxy's discovery reports otherwise, or another proxy reports that it has
// departed.
type peerEndpoints struct {
	notify func(index int64, complete bool, list []wire.Endpoint) // sends to other proxies; must not block

	mu       sync.Mutex
	incoming map[string]peerUpdate // updates to be applied, by name; cleared by the list's goroutine

	// Accessed only by the list's goroutine.
	newer    map[string]peerUpdate    // updates with a later index than this proxy's discovery has reached, by name
	local    map[string]wire.Endpoint // as reported by this proxy's discovery since its last complete list, also departed ones
	complete bool                     // this proxy's discovery has sent a complete list
}

func newPeerEndpoints(notify func(index int64, complete bool, list []wire.Endpoint)) *peerEndpoints {
	return &peerEndpoints{
		notify:   notify,
		incoming: map[string]peerUpdate{}, newer: map[string]peerUpdate{}, local: map[string]wire.Endpoint{},
	}
}

// SetPeerNotifier sets the function that sends lists and changes from discovery to other proxies. The function must not
// block. SetPeerNotifier must be called before Run.
func (l *EndpointList) SetPeerNotifier(notify func(index int64, complete bool, list []wire.Endpoint)) {
	l.peerEndpoints = newPeerEndpoints(notify)
}

// ReceivePeerUpdate handles an endpoint from another proxy. It does not block, since the list's goroutine may itself be
// waiting for the caller's goroutine.
func (l *EndpointList) ReceivePeerUpdate(index int64, endpoint wire.Endpoint) {
	l.peerEndpoints.receive(peerUpdate{index, endpoint})
	l.mailbox.tryPost(l.applyPeerUpdates) // if the mailbox is full, the next call applies this update as well
}

// receive stores an update until it is applied, unless a later one of the same endpoint is stored.
func (p *peerEndpoints) receive(update peerUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.incoming[update.Name]; !ok || update.index >= last.index {
		p.incoming[update.Name] = update
	}
}

// takeIncoming removes and returns the received updates, sorted by name.
func (p *peerEndpoints) takeIncoming() []peerUpdate {
	p.mu.Lock()
	updates := make([]peerUpdate, 0, len(p.incoming))
	for _, update := range p.incoming {
		updates = append(updates, update)
	}
	clear(p.incoming)
	p.mu.Unlock()
	slices.SortFunc(updates, func(a, b peerUpdate) int { return cmp.Compare(a.Name, b.Name) })
	return updates
}

// applyPeerUpdates passes new endpoints from other proxies to the router, and sends corrections of outdated ones.
func (l *EndpointList) applyPeerUpdates() {
	updates := l.peerEndpoints.takeIncoming()
	changed, corrections := l.peerEndpoints.classify(l.index, updates)
	if len(corrections) > 0 {
		l.peerEndpoints.notify(l.index, false, corrections)
	}
	if len(changed) == 0 {
		return
	}
	for _, update := range updates {
		l.recordIndex(update.index)
	}
	l.counters.PeerLists.Add(1)
	l.updateRouter(endpointUpdate{endpoints: changed})
}

// classify returns the endpoints of updates from other proxies that are newer than index, and the corrections to send
// for older ones that differ from the state of this proxy's discovery. Without a correction an outdated update would
// spread and be kept by proxies that receive nothing from discovery.
func (p *peerEndpoints) classify(index int64, updates []peerUpdate) (changed, corrections []wire.Endpoint) {
	for _, update := range updates {
		local, known := p.local[update.Name]
		switch {
		case update.index > index:
			p.newer[update.Name] = update
			drainedHere := known && !local.Ready
			if !drainedHere || update.Departed {
				update.FromPeer = true
				changed = append(changed, update.Endpoint)
			}
		case update.index == index:
		case known && differs(local, update.Endpoint):
			corrections = append(corrections, local)
		case !known && p.complete && !update.Departed:
			corrections = append(corrections, wire.Endpoint{Name: update.Name, Departed: true})
		}
	}
	return changed, corrections
}

func differs(a, b wire.Endpoint) bool {
	return a.Ready != b.Ready || a.Departed != b.Departed || a.StartedAtUnixMilli != b.StartedAtUnixMilli
}

// merge applies a list or change from this proxy's discovery at an index, and returns it with the endpoints replaced or
// added for which other proxies have reported a later state.
func (p *peerEndpoints) merge(index int64, complete bool, list []wire.Endpoint) []wire.Endpoint {
	if complete {
		p.complete = true
		clear(p.local)
	}
	for name, update := range p.newer {
		if update.index <= index {
			delete(p.newer, name)
		}
	}
	listed := map[string]bool{}
	merged := slices.Clone(list)
	for i := range merged {
		endpoint := &merged[i]
		listed[endpoint.Name] = true
		p.local[endpoint.Name] = *endpoint
		if update, ok := p.newer[endpoint.Name]; ok && endpoint.Ready {
			address := endpoint.Address // another proxy may reach the endpoint at another address
			*endpoint = update.Endpoint
			if address != "" {
				endpoint.Address = address
			}
		}
	}
	if complete {
		merged = append(merged, p.newerUnlisted(listed)...)
	}
	return merged
}

// newerUnlisted returns the endpoints, sorted by name, that only other proxies have reported so far.
func (p *peerEndpoints) newerUnlisted(listed map[string]bool) []wire.Endpoint {
	var endpoints []wire.Endpoint
	for name, update := range p.newer {
		if !listed[name] && !update.Departed {
			endpoints = append(endpoints, update.Endpoint)
		}
	}
	slices.SortFunc(endpoints, func(a, b wire.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}
