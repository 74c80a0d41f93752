package fleet

import (
	"cmp"
	"slices"
	"sync"

	"woodproxy/brain"
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

	over  map[string]heard // by node, of a later index than this proxy's discovery; emptied as that one gets there
	drain map[string]bool  // nodes that this proxy's own discovery said are leaving or left; emptied by its whole lists
}

// Share has the list told to peers as discovery tells it. It is called before Run.
func (l *List) Share(tell func(index int64, whole bool, list []wire.Target)) {
	l.shared = &shared{tell: tell, new: map[string]heard{}, over: map[string]heard{}, drain: map[string]bool{}}
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
	var list []wire.Target
	for _, h := range came {
		if h.index <= l.index {
			continue // this proxy's discovery has said as much, or more
		}
		s.over[h.Name] = h
		if s.drain[h.Name] && !h.Gone {
			continue
		}
		h.Elsewhere = true
		list = append(list, h.Target)
	}
	if len(list) > 0 {
		l.count.PeerLists.Add(1)
		l.mind.box.post(func() { l.mind.nodes(false, false, list) })
	}
}

// with lays what peers know better over what this proxy's discovery has told at an index.
func (s *shared) with(index int64, whole bool, list []wire.Target) []wire.Target {
	if whole {
		clear(s.drain)
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
		if delete(s.drain, t.Name); !t.Ready {
			s.drain[t.Name] = true
		} else if h, ok := s.over[t.Name]; ok {
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
func (m *Mind) Tells(tell func(node string, answers bool)) { m.tells = tell }

// Heard takes what a peer found of a node.
func (m *Mind) Heard(node string, answers bool) {
	m.box.post(func() {
		if n, ok := m.byName[node]; ok {
			m.count.PeerSights.Add(1)
			now := m.clock.Now()
			m.act(m.decide(now, func(b *brain.Instance) []brain.Decision { return b.Heard(now, n, answers) }))
		}
	})
}

// Share takes the part of what all proxies may do together that this one may from now on.
func (m *Mind) Share(part float64) {
	m.box.post(func() {
		now := m.clock.Now()
		m.act(m.decide(now, func(b *brain.Instance) []brain.Decision { return b.Share(now, part) }))
	})
}
