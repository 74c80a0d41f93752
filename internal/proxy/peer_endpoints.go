package proxy

import (
	"cmp"
	"slices"
	"sync"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// heard is a node's line as a peer's discovery told it at an index.
type peerUpdate struct {
	index int64
	wire.Target
}

// shared is what the list's actor has from peers. Their lines stand where their discovery is further than this proxy's own;
// what that one told to drain stays drained until it says otherwise itself, whatever peers hold.
type peerEndpoints struct {
	notify func(index int64, whole bool, list []wire.Target) // nil: there are no peers

	mu       sync.Mutex
	incoming map[string]peerUpdate // came and not looked at; emptied by the list's actor

	newer    map[string]peerUpdate  // by node, of a later index than this proxy's discovery; emptied as that one gets there
	local    map[string]wire.Target // as this proxy's discovery told, those that left included; emptied by its whole lists
	complete bool                   // it has told a whole list
}

func newPeerEndpoints(tell func(index int64, whole bool, list []wire.Target)) *peerEndpoints {
	return &peerEndpoints{notify: tell, incoming: map[string]peerUpdate{}, newer: map[string]peerUpdate{}, local: map[string]wire.Target{}}
}

// Share has the list told to peers as discovery tells it. It is called before Run.
func (l *List) Share(tell func(index int64, whole bool, list []wire.Target)) {
	l.peerEndpoints = newPeerEndpoints(tell)
}

// Hear takes a node's line from a peer. It does not wait: the list waits for those who call.
func (l *List) Hear(index int64, t wire.Target) {
	peers := l.peerEndpoints
	peers.mu.Lock()
	if h, ok := peers.incoming[t.Name]; !ok || index >= h.index {
		peers.incoming[t.Name] = peerUpdate{index, t}
	}
	peers.mu.Unlock()
	l.mailbox.tryPost(l.applyPeerUpdates) // where that finds no room, the next one looks
}

// look passes on what peers told, as far as it is news.
func (l *List) applyPeerUpdates() {
	peers := l.peerEndpoints
	peers.mu.Lock()
	updates := make([]peerUpdate, 0, len(peers.incoming))
	for _, h := range peers.incoming {
		updates = append(updates, h)
	}
	clear(peers.incoming)
	peers.mu.Unlock()
	slices.SortFunc(updates, func(a, b peerUpdate) int { return cmp.Compare(a.Name, b.Name) })
	list, again := peers.classify(l.index, updates)
	if len(again) > 0 {
		peers.notify(l.index, false, again)
	}
	if len(list) > 0 {
		for _, h := range updates {
			l.recordIndex(h.index)
		}
		l.counters.PeerLists.Add(1)
		l.router.mailbox.post(func() { l.router.updateEndpoints(false, false, list) })
	}
}

// sort tells what is news of that which came from peers, and what is to be told them again: an older line that says otherwise
// than this proxy's discovery does by now goes round, and those that discovery tells nothing would keep to it.
func (p *peerEndpoints) classify(index int64, updates []peerUpdate) (list, again []wire.Target) {
	for _, h := range updates {
		own, known := p.local[h.Name]
		switch {
		case h.index > index:
			p.newer[h.Name] = h
			if !known || own.Ready || h.Gone { // a drain that was told here stands
				h.Elsewhere = true
				list = append(list, h.Target)
			}
		case h.index == index:
		case known && (own.Ready != h.Ready || own.Gone != h.Gone || own.Since != h.Since):
			again = append(again, own)
		case !known && p.complete && !h.Gone:
			again = append(again, wire.Target{Name: h.Name, Gone: true})
		}
	}
	return list, again
}

// with lays what peers know better over what this proxy's discovery has told at an index.
func (p *peerEndpoints) merge(index int64, whole bool, list []wire.Target) []wire.Target {
	if whole {
		p.complete = true
		clear(p.local)
	}
	for name, h := range p.newer {
		if h.index <= index {
			delete(p.newer, name)
		}
	}
	listed := map[string]bool{}
	all := slices.Clone(list)
	for i := range all {
		t := &all[i]
		listed[t.Name] = true
		if p.local[t.Name] = *t; !t.Ready {
			continue
		}
		if h, ok := p.newer[t.Name]; ok {
			at := t.Address // another proxy may reach it elsewhere
			if *t = h.Target; at != "" {
				t.Address = at
			}
		}
	}
	if whole {
		var more []wire.Target
		for name, h := range p.newer {
			if !listed[name] && !h.Gone {
				more = append(more, h.Target)
			}
		}
		slices.SortFunc(more, func(a, b wire.Target) int { return cmp.Compare(a.Name, b.Name) })
		all = append(all, more...)
	}
	return all
}

// Tells has what the module tells peers given to a function, which may not wait. It is called before Run.
func (r *Router) Tells(tell func(node string, answers bool)) { r.notifyPeers = tell }

// Heard takes what a peer found of a node.
func (r *Router) Heard(node string, answers bool) {
	r.mailbox.post(func() {
		if n, ok := r.hostIndex[node]; ok {
			r.counters.PeerSights.Add(1)
			now := r.clock.Now()
			r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Heard(now, n, answers) }))
		}
	})
}

// Share takes the part of what all proxies may do together that this one may from now on.
func (r *Router) Share(part float64) {
	r.mailbox.post(func() {
		now := r.clock.Now()
		r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Share(now, part) }))
	})
}
