package proxy

import (
	"cmp"
	"slices"
	"sync"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// heard is a node's line as a peer's discovery told it at an index.
type heard struct {
	index int64
	wire.Target
}

// shared is what the list's actor has from peers. Their lines stand where their discovery is further than this proxy's own;
// what that one told to drain stays drained until it says otherwise itself, whatever peers hold.
type shared struct {
	tell func(index int64, whole bool, list []wire.Target) // nil: there are no peers

	mu  sync.Mutex
	new map[string]heard // came and not looked at; emptied by the list's actor

	over map[string]heard       // by node, of a later index than this proxy's discovery; emptied as that one gets there
	own  map[string]wire.Target // as this proxy's discovery told, those that left included; emptied by its whole lists
	all  bool                   // it has told a whole list
}

func newShared(tell func(index int64, whole bool, list []wire.Target)) *shared {
	return &shared{tell: tell, new: map[string]heard{}, over: map[string]heard{}, own: map[string]wire.Target{}}
}

// Share has the list told to peers as discovery tells it. It is called before Run.
func (l *List) Share(tell func(index int64, whole bool, list []wire.Target)) {
	l.shared = newShared(tell)
}

// Hear takes a node's line from a peer. It does not wait: the list waits for those who call.
func (l *List) Hear(index int64, t wire.Target) {
	s := l.shared
	s.mu.Lock()
	if h, ok := s.new[t.Name]; !ok || index >= h.index {
		s.new[t.Name] = heard{index, t}
	}
	s.mu.Unlock()
	l.box.offer(l.look) // where that finds no room, the next one looks
}

// look passes on what peers told, as far as it is news.
func (l *List) look() {
	s := l.shared
	s.mu.Lock()
	came := make([]heard, 0, len(s.new))
	for _, h := range s.new {
		came = append(came, h)
	}
	clear(s.new)
	s.mu.Unlock()
	slices.SortFunc(came, func(a, b heard) int { return cmp.Compare(a.Name, b.Name) })
	list, again := s.sort(l.index, came)
	if len(again) > 0 {
		s.tell(l.index, false, again)
	}
	if len(list) > 0 {
		for _, h := range came {
			l.reached(h.index)
		}
		l.count.PeerLists.Add(1)
		l.router.box.post(func() { l.router.nodes(false, false, list) })
	}
}

// sort tells what is news of that which came from peers, and what is to be told them again: an older line that says otherwise
// than this proxy's discovery does by now goes round, and those that discovery tells nothing would keep to it.
func (s *shared) sort(index int64, came []heard) (list, again []wire.Target) {
	for _, h := range came {
		own, known := s.own[h.Name]
		switch {
		case h.index > index:
			s.over[h.Name] = h
			if !known || own.Ready || h.Gone { // a drain that was told here stands
				h.Elsewhere = true
				list = append(list, h.Target)
			}
		case h.index == index:
		case known && (own.Ready != h.Ready || own.Gone != h.Gone || own.Since != h.Since):
			again = append(again, own)
		case !known && s.all && !h.Gone:
			again = append(again, wire.Target{Name: h.Name, Gone: true})
		}
	}
	return list, again
}

// with lays what peers know better over what this proxy's discovery has told at an index.
func (s *shared) with(index int64, whole bool, list []wire.Target) []wire.Target {
	if whole {
		s.all = true
		clear(s.own)
	}
	for name, h := range s.over {
		if h.index <= index {
			delete(s.over, name)
		}
	}
	listed := map[string]bool{}
	all := slices.Clone(list)
	for i := range all {
		t := &all[i]
		listed[t.Name] = true
		if s.own[t.Name] = *t; !t.Ready {
			continue
		}
		if h, ok := s.over[t.Name]; ok {
			at := t.Address // another proxy may reach it elsewhere
			if *t = h.Target; at != "" {
				t.Address = at
			}
		}
	}
	if whole {
		var more []wire.Target
		for name, h := range s.over {
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
func (m *Router) Tells(tell func(node string, answers bool)) { m.tells = tell }

// Heard takes what a peer found of a node.
func (m *Router) Heard(node string, answers bool) {
	m.box.post(func() {
		if n, ok := m.byName[node]; ok {
			m.count.PeerSights.Add(1)
			now := m.clock.Now()
			m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Heard(now, n, answers) }))
		}
	})
}

// Share takes the part of what all proxies may do together that this one may from now on.
func (m *Router) Share(part float64) {
	m.box.post(func() {
		now := m.clock.Now()
		m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Share(now, part) }))
	})
}
