package proxy

import (
	"context"
	"hash/fnv"
	"math"
	"net"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// mostHeld is how many exchanges may be held at most, whatever the memory; it bounds mailboxes.
const mostHeld = 1024

// Router is the module's actor. It turns calls from clients, peers and the list into calls on the module, and
// the module's decisions into calls on them.
type Router struct {
	box    mailbox
	brain  *balancer.Instance
	book   *settings.Book
	clock  Clock
	wake   *time.Timer
	wakes  balancer.Time // when it fires, 0: nothing is asked for
	watch  *onlooker     // nil: nothing watches
	slots  []slot        // as many as were ever held at once
	free   []int
	peers  []*peer             // by the module's index of the node, nil where that is free; as many as were listed at a time
	spots  []int               // free indices of nodes
	byName map[string]int      // emptied as nodes that have gone are forgotten
	ids    map[string]struct{} // of exchanges that have an index; emptied with them
	until  balancer.Time       // the process ends then, 0: nobody knows when
	dialer dialer              // to peers
	links  *budget
	memory *budget // bytes of values that are held
	flows  *budget // bytes of values that pass through
	list   *List
	tells  func(node string, answers bool) // peers, nil: there are none
	zones  *quarters                       // nil: zones are not judged
	absent *Absent                         // nil: no keys are known to be missing
	duties *Duties                         // nil: nothing goes by turns
	count  *Counters
	log    *zap.Logger
}

// slot is where an exchange lives while it has no answer, or tries of it are out.
type slot struct {
	request *request
	legs    []*try
	out     int
	over    bool          // it has its final answer, or nobody waits for one
	ran     balancer.Time // when the first try was sent that may have been carried out, 0: none
}

// end notes that nothing is owed any more. Tries that are out but not yet written must not be: they may wait for a
// connection that comes up late, and cancelling may not be allowed.
func (m *Router) end(s *slot) {
	s.over = true
	s.request.over.Store(true)
	if s.out == 0 {
		return
	}
	for _, t := range s.legs {
		if p := m.peers[t.node]; p != nil {
			p.box.offer(func() { p.drop(t) })
		}
	}
}

// dialer makes connections; tests have one that holds them back.
type dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewRouter returns a module's actor that knows no nodes; sockets is how many it may have open to peers.
func NewRouter(book *settings.Book, seed uint64, clock Clock, sockets int, count *Counters, log *zap.Logger) *Router {
	return &Router{
		box: make(mailbox, 4*mostHeld), brain: balancer.New(clock.Now(), book.Terms, seed), book: book,
		clock: clock, wake: time.NewTimer(time.Hour), byName: map[string]int{}, ids: map[string]struct{}{}, links: newBudget(sockets, &count.UpstreamOpen),
		dialer: &net.Dialer{Timeout: span(book.Terms.ConnectTimeout), KeepAlive: -1},
		memory: newBudget(0, &count.Bytes), flows: newBudget(0, &count.Passing),
		count: count, log: log,
	}
}

// Run carries out calls for as long as the program lives.
func (m *Router) Run() {
	for {
		select {
		case call := <-m.box:
			guarded(m.log, m.count, call)
		case <-m.wake.C:
			guarded(m.log, m.count, m.woken)
		case <-m.zoneDue():
			guarded(m.log, m.count, m.zonesLook)
		case <-m.due():
			guarded(m.log, m.count, m.watchWoken)
		}
	}
}

// nodes takes the list, whole or only what changed; first means that it is what this proxy last had.
func (m *Router) nodes(whole, first bool, list []wire.Target) {
	first = first || len(m.peers) == 0 // with none known before, nothing tells who is new
	lines := make([]balancer.Listing, 0, len(list))
	now := m.clock.Now()
	m.forgetGone(now)
	if whole {
		for _, p := range m.peers {
			if p != nil {
				p.ready.Store(false)
				p.left(now)
			}
		}
	}
	for _, t := range list {
		n, ok := m.byName[t.Name]
		origin := m.book.Origin != "" && t.Kind == m.book.Origin
		if !ok {
			if t.Gone {
				continue // and was never known
			}
			if k := len(m.spots); k > 0 {
				n, m.spots = m.spots[k-1], m.spots[:k-1]
			} else {
				n = len(m.peers)
				m.peers = append(m.peers, nil)
			}
			m.byName[t.Name] = n
			m.peers[n] = newPeer(m, n, t.Name, origin)
			m.log.Info("new on the list", zap.Int("node", n), zap.String("peer", t.Name), zap.String("at", t.Address))
		}
		if !ok && !first && t.Since == 0 {
			t.Since = int64(now / 10) // the module takes it to have just started, and so does who is told of it by us
		} else if ok {
			t.Since = max(t.Since, m.peers[n].listed.Since)
		}
		if (t.Address == "" || t.Elsewhere) && ok && m.peers[n].listed.Address != "" {
			t.Address = m.peers[n].listed.Address
		}
		m.peers[n].listed = t
		if t.Address != "" {
			m.peers[n].addr.Store(&t.Address)
		}
		m.peers[n].ready.Store(t.Ready)
		if m.peers[n].since = 0; t.Gone {
			m.peers[n].left(now)
		}
		zone, ok := m.book.Zones[t.Zone]
		if !ok {
			zone = -1
		}
		lines = append(lines, balancer.Listing{
			Node: n, Name: t.Name, Origin: origin, Ready: t.Ready,
			Since: balancer.Time(t.Since) * 10, Weight: t.Weight, Zone: zone, Cell: t.Cell,
		})
	}
	m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Nodes(now, whole, first, lines) }))
	m.zoneList()
	m.dutyNodes()
}

// forgetGone frees the indices of nodes that have been gone for longer than any exchange lives, so that none is left
// that was sent there. All day nodes are replaced by others under new names.
func (m *Router) forgetGone(now balancer.Time) {
	for n, p := range m.peers {
		if p != nil && p.since > 0 && now-p.since > m.book.Longest && p.out == 0 {
			delete(m.byName, p.name)
			m.peers[n] = nil
			m.spots = append(m.spots, n)
			p.box.post(p.end)
		}
	}
}

// Targets returns the list as the module has it, or nothing if it is too busy to tell in time.
func (m *Router) Targets() []wire.Target {
	told := make(chan []wire.Target, 1)
	if !m.box.offer(func() {
		var list []wire.Target
		for _, p := range m.peers {
			if p != nil && p.since == 0 {
				list = append(list, p.listed)
			}
		}
		told <- list
	}) {
		return nil
	}
	select {
	case list := <-told:
		return list
	case <-time.After(span(3000)):
		return nil
	}
}

// Until has all that is owed, and what comes from now on, answered within a span of time, since the process is to end.
func (m *Router) Until(span time.Duration) {
	until := m.clock.Now() + balancer.Time(span/(100*time.Microsecond))
	m.box.post(func() {
		m.until = until
		now := m.clock.Now()
		m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Until(now, until) }))
	})
}

// Links changes how many connections there may be to peers; idle ones are closed where there may be fewer.
func (m *Router) Links(by int) {
	m.links.grow(by)
	if by < 0 {
		m.box.post(m.makeRoom)
	}
}

// listFailed hears that a list that the module asked for does not come.
func (m *Router) listFailed() {
	now := m.clock.Now()
	m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.ListFailed(now) }))
}

// arrive takes an exchange that a client's connection has read whole.
func (m *Router) arrive(t *request) {
	route, ok := m.book.Routes[t.route]
	if !ok {
		t.answer(m.count, errored, nil, 0)
		return
	}
	if _, taken := m.ids[string(t.id)]; taken {
		// servers would take it for the open one, or turn it away one after the other
		m.count.Taken.Add(1)
		t.answer(m.count, errored, nil, 0)
		return
	}
	m.ids[string(t.id)] = struct{}{}
	e := balancer.Exchange{
		Route: route, Tenant: -1, Keyed: true, Write: t.value != nil, Repeat: t.repeat,
		Remaining: min(balancer.Time(t.wait)*10, m.book.Terms.Routes[route].Overall),
	} // nothing is held for longer
	if n, ok := m.book.Tenants[t.tenant]; ok {
		e.Tenant = n
	}
	h := fnv.New64a()
	h.Write(t.key)
	e.Key = h.Sum64()
	cx := len(m.slots)
	if n := len(m.free); n > 0 {
		cx, m.free = m.free[n-1], m.free[:n-1]
	} else {
		m.slots = append(m.slots, slot{})
	}
	m.slots[cx].request = t
	t.cx, t.taken = cx, true
	now := m.clock.Now()
	e.Remaining -= now - t.came
	if m.until != 0 {
		e.Remaining = min(e.Remaining, m.until-now)
	}
	m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Arrive(now, cx, e) }))
}

// left hears that the client of an exchange has gone.
func (m *Router) left(t *request) {
	if !t.taken || m.slots[t.cx].request != t || m.slots[t.cx].over {
		return
	}
	m.count.Left.Add(1)
	now := m.clock.Now()
	ds := m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Left(now, t.cx) })
	m.end(&m.slots[t.cx])
	m.act(ds)
	m.clear(t.cx)
}

// ended hears how a try came out.
func (m *Router) ended(t *try, ending balancer.Ending, value []byte, f *flow) {
	s := &m.slots[t.cx]
	s.out--
	m.peers[t.node].out--
	m.count.Ends[ending].Add(1)
	switch ending {
	case balancer.Completed, balancer.Fault, balancer.Silent, balancer.Cut, balancer.Undone:
		if s.ran == 0 {
			s.ran = t.sent
		}
	}
	switch {
	case ending == balancer.Completed && !s.over && t.absent:
		m.finish(t.cx, absent, nil, 0)
		m.absent.learned(t)
	case ending == balancer.Completed && !s.over && f != nil:
		m.end(s)
		s.request.pass(m.count, f)
	case ending == balancer.Completed && !s.over:
		m.finish(t.cx, completed, value, 0)
	case f != nil:
		f.drop()
	default:
		m.memory.give(len(value)) // nobody waits for it
	}
	now := m.clock.Now()
	a := balancer.Answer{Cx: t.cx, Node: t.node, Ending: ending, Took: now - t.sent, Ended: s.over}
	m.zoneEnded(t.node, ending, a.Took)
	passed := m.brain.Passed(t.node)
	m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Returned(now, a) }))
	m.dutyEnded(t.node, passed)
	m.clear(t.cx)
}

// finish gives an exchange its one final answer.
func (m *Router) finish(cx int, a final, value []byte, after balancer.Time) {
	if s := &m.slots[cx]; !s.over {
		m.end(s)
		s.request.answer(m.count, a, value, int(math.Ceil(float64(after)/10)))
	}
}

// clear gives an index back once nothing more can come for it.
func (m *Router) clear(cx int) {
	if s := &m.slots[cx]; s.over && s.out == 0 && s.request != nil {
		delete(m.ids, string(s.request.id))
		clear(s.legs) // or the index would hold the exchange's value until its next use
		*s = slot{legs: s.legs[:0]}
		m.free = append(m.free, cx)
	}
}

// makeRoom closes idle connections to all peers, when one lacks a socket.
func (m *Router) makeRoom() {
	for _, p := range m.peers {
		if p != nil {
			p.box.offer(p.closeIdle)
		}
	}
}

// act carries out the module's decisions, in order.
func (m *Router) act(ds []balancer.Decision) {
	var unsent []*try
	for i := range ds {
		switch d := &ds[i]; d.Act {
		case balancer.Send:
			s := &m.slots[d.Cx]
			t := &try{request: s.request, cx: d.Cx, node: d.Node, sent: m.clock.Now(), wait: d.After}
			if s.ran > 0 {
				if r := &m.book.Terms.Routes[m.book.Routes[s.request.route]]; r.Effect == balancer.Deduped {
					t.before = s.ran + r.Window // later, the repeat would be carried out as well
				}
			}
			s.legs = append(s.legs, t)
			if m.peers[d.Node].origin {
				m.absent.begin(t)
			}
			if s.out++; s.out > 1 {
				m.count.Copies.Add(1)
			}
			p := m.peers[d.Node]
			p.out++
			m.count.Tries.Add(1)
			m.zoneSent(d.Node)
			m.dutySent(d.Node)
			if !p.box.offer(func() { p.send(t) }) {
				unsent = append(unsent, t)
			}
		case balancer.Cancel:
			t := m.slots[d.Cx].legs[d.Leg]
			m.count.Cancelled.Add(1)
			p := m.peers[t.node]
			p.box.offer(func() { p.cancel(t) }) // where it finds no room, the try's own time-out ends it
		case balancer.Shed:
			m.finish(d.Cx, shed, nil, d.After)
		case balancer.Error:
			m.finish(d.Cx, errored, nil, 0)
		case balancer.Wake:
			m.wakes = m.clock.Now() + d.After
			m.wake.Reset(span(d.After))
		case balancer.Follow:
			m.list.box.offer(m.list.follow)
		case balancer.Tell:
			if m.tells != nil {
				m.tells(m.peers[d.Node].name, d.Answers)
			}
		case balancer.Log:
			m.log.Info(d.Text)
		}
	}
	for i := range ds {
		if ds[i].Act == balancer.Shed || ds[i].Act == balancer.Error {
			m.clear(ds[i].Cx)
		}
	}
	for _, t := range unsent {
		m.ended(t, balancer.NeverSent, nil, nil)
	}
}
