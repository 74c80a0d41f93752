package proxy

import (
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/duties"

	"go.uber.org/zap"
)

const dutyTick = 100 * time.Millisecond

// Duties is the actor of what proxies do by turns. It is none of the module's loop: that one offers it what it found and waits for
// nothing, and it posts to the module, to the list and to peers what follows.
type Duties struct {
	box    mailbox
	in     *duties.Instance
	clock  Clock
	router *Router
	list   *List
	tell   func(k duties.Kind, key string, s duties.Said, life duties.Time) // peers; it may not wait
	shown  atomic.Pointer[duties.Figures]
	count  *Counters
	log    *zap.Logger
	stale  bool // the list's latest change found no room; only the module's actor looks
}

// NewDuties returns the actor, by which the module's and the list's take turns with other proxies'. It is called before they run.
func NewDuties(t duties.Terms, router *Router, list *List, tell func(k duties.Kind, key string, s duties.Said, life duties.Time), log *zap.Logger) *Duties {
	d := &Duties{
		box: make(mailbox, 1024), in: duties.New(duties.Time(router.clock.Now()), t), clock: router.clock, router: router, list: list, tell: tell,
		count: router.count, log: log,
	}
	d.shown.Store(&duties.Figures{})
	router.duties, list.duties = d, d
	return d
}

// Run carries out calls for as long as the program lives.
func (d *Duties) Run() {
	ticks := time.NewTicker(dutyTick)
	for {
		select {
		case call := <-d.box:
			guarded(d.log, d.count, call)
		case <-ticks.C:
			d.router.box.offer(d.router.dutyLook)
			guarded(d.log, d.count, func() { d.act(d.in.Tick(d.now())) })
			f := d.in.Shown()
			d.shown.Store(&f)
		}
	}
}

func (d *Duties) now() duties.Time { return duties.Time(d.clock.Now()) }

// Shown is how it stood a moment ago.
func (d *Duties) Shown() duties.Figures { return *d.shown.Load() }

// Fleet takes who the proxies are.
func (d *Duties) Fleet(all []duties.Proxy, behind bool) {
	d.box.offer(func() { d.act(d.in.Fleet(d.now(), all, behind)) })
}

// Heard takes what another proxy says.
func (d *Duties) Heard(from string, k duties.Kind, key string, s duties.Said, age duties.Time) {
	d.box.offer(func() { d.act(d.in.Heard(d.now(), from, k, key, s, age)) })
}

func (d *Duties) act(ds []duties.Decision) {
	for i := range ds {
		switch x := ds[i]; x.Act {
		case duties.Rest:
			d.router.box.post(func() { d.router.rest(x.Node, balancer.Time(x.Until)) })
		case duties.Doubt:
			d.router.Heard(x.Node, !x.On)
		case duties.Keep:
			d.router.box.post(func() { d.router.keep(x.Node, x.On) })
		case duties.Watch:
			d.list.box.post(func() { d.list.duty(x.On) })
		case duties.Say:
			d.tell(x.Kind, x.Key, x.Said, x.Life)
		case duties.Log:
			d.log.Info("turns: " + x.Text)
		}
	}
}

// What follows runs on the module's actor.

// dutyNodes tells which caches are listed.
func (m *Router) dutyNodes() {
	if m.duties == nil {
		return
	}
	var names []string
	for _, p := range m.peers {
		if p != nil && !p.origin && p.listed.Ready && p.since == 0 {
			names = append(names, p.name)
		}
	}
	d := m.duties
	d.stale = !d.box.offer(func() { d.act(d.in.Nodes(d.now(), names)) }) // then at the next look
}

// dutyLook tells which nodes are passed over by now.
func (m *Router) dutyLook() {
	d := m.duties
	if d.stale {
		m.dutyNodes()
	}
	for n, p := range m.peers {
		if p == nil || p.origin || p.since != 0 || p.passed == m.brain.Passed(n) {
			continue
		}
		name, passed := p.name, !p.passed
		if d.box.offer(func() { d.act(d.in.Passed(d.now(), name, passed)) }) {
			p.passed = passed
		}
	}
}

// dutySent notes that a try goes to a node, which is a trial if that is passed over.
func (m *Router) dutySent(n int) {
	if d := m.duties; d != nil && !m.peers[n].origin && m.brain.Passed(n) {
		name := m.peers[n].name
		d.box.offer(func() {
			d.act(d.in.Passed(d.now(), name, true))
			d.act(d.in.Tried(d.now(), name))
		})
	}
}

// dutyEnded notes that a try at a node that was passed over has come to nothing, or that the node answers.
func (m *Router) dutyEnded(n int, passed bool) {
	if d := m.duties; d != nil && passed {
		name, still := m.peers[n].name, m.brain.Passed(n)
		told := d.box.offer(func() {
			if still {
				d.act(d.in.Failed(d.now(), name))
			} else {
				d.act(d.in.Passed(d.now(), name, false))
			}
		})
		if told && !still {
			m.peers[n].passed = false
		}
	}
}

// rest has a node's next trial be at a time.
func (m *Router) rest(node string, until balancer.Time) {
	if n, ok := m.byName[node]; ok {
		now := m.clock.Now()
		m.act(m.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Rest(now, n, until) }))
	}
}

// keep has idle connections to a node be kept for as long as they may, or closed soon.
func (m *Router) keep(node string, on bool) {
	if n, ok := m.byName[node]; ok {
		m.peers[n].drops.Store(!on)
		if !on {
			m.peers[n].box.offer(m.peers[n].closeIdle)
		}
	}
}

// duty has discovery be watched, or left to others: what it had told of by then is as old as what they tell.
func (l *List) duty(on bool) {
	if l.off = !on; on {
		l.follow()
		return
	}
	for _, w := range []*watch{l.now, l.before} {
		if w != nil {
			w.end()
		}
	}
	l.now, l.before = nil, nil
	l.watching(false)
	if l.shared != nil {
		clear(l.shared.own)
		l.shared.all = false
	}
}

// watching tells whether the watch lives.
func (l *List) watching(live bool) {
	if d := l.duties; d != nil {
		d.box.offer(func() { d.act(d.in.Watching(d.now(), live)) })
	}
}
