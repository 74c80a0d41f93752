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
	mailbox     mailbox
	assignments *duties.Instance
	clock       Clock
	router      *Router
	list        *List
	broadcast   func(k duties.Kind, key string, s duties.Said, life duties.Time) // peers; it may not wait
	figures     atomic.Pointer[duties.Figures]
	counters    *Counters
	log         *zap.Logger
	nodesStale  bool // the list's latest change found no room; only the module's actor looks
}

// NewDuties returns the actor, by which the module's and the list's take turns with other proxies'. It is called before they run.
func NewDuties(t duties.Terms, router *Router, list *List, tell func(k duties.Kind, key string, s duties.Said, life duties.Time), log *zap.Logger) *Duties {
	d := &Duties{
		mailbox: make(mailbox, 1024), assignments: duties.New(duties.Time(router.clock.Now()), t), clock: router.clock, router: router, list: list, broadcast: tell,
		counters: router.counters, log: log,
	}
	d.figures.Store(&duties.Figures{})
	router.duties, list.duties = d, d
	return d
}

// Run carries out calls for as long as the program lives.
func (d *Duties) Run() {
	ticks := time.NewTicker(dutyTick)
	for {
		select {
		case call := <-d.mailbox:
			runRecovered(d.log, d.counters, call)
		case <-ticks.C:
			d.router.mailbox.tryPost(d.router.reportEjections)
			runRecovered(d.log, d.counters, func() { d.execute(d.assignments.Tick(d.now())) })
			f := d.assignments.Shown()
			d.figures.Store(&f)
		}
	}
}

func (d *Duties) now() duties.Time { return duties.Time(d.clock.Now()) }

// Shown is how it stood a moment ago.
func (d *Duties) Shown() duties.Figures { return *d.figures.Load() }

// Fleet takes who the proxies are.
func (d *Duties) Fleet(all []duties.Proxy, behind bool) {
	d.mailbox.tryPost(func() { d.execute(d.assignments.Fleet(d.now(), all, behind)) })
}

// Heard takes what another proxy says.
func (d *Duties) Heard(from string, k duties.Kind, key string, s duties.Said, age duties.Time) {
	d.mailbox.tryPost(func() { d.execute(d.assignments.Heard(d.now(), from, k, key, s, age)) })
}

func (d *Duties) execute(decisions []duties.Decision) {
	for i := range decisions {
		switch x := decisions[i]; x.Act {
		case duties.Rest:
			d.router.mailbox.post(func() { d.router.delayProbe(x.Node, balancer.Time(x.Until)) })
		case duties.Doubt:
			d.router.Heard(x.Node, !x.On)
		case duties.Keep:
			d.router.mailbox.post(func() { d.router.setIdleConnOwner(x.Node, x.On) })
		case duties.Watch:
			d.list.mailbox.post(func() { d.list.setWatching(x.On) })
		case duties.Say:
			d.broadcast(x.Kind, x.Key, x.Said, x.Life)
		case duties.Log:
			d.log.Info("turns: " + x.Text)
		}
	}
}

// What follows runs on the module's actor.

// dutyNodes tells which caches are listed.
func (r *Router) updateDutyNodes() {
	if r.duties == nil {
		return
	}
	var names []string
	for _, host := range r.hosts {
		if host != nil && !host.isOrigin && host.endpoint.Ready && host.departedAt == 0 {
			names = append(names, host.name)
		}
	}
	d := r.duties
	d.nodesStale = !d.mailbox.tryPost(func() { d.execute(d.assignments.Nodes(d.now(), names)) }) // then at the next look
}

// dutyLook tells which nodes are passed over by now.
func (r *Router) reportEjections() {
	d := r.duties
	if d.nodesStale {
		r.updateDutyNodes()
	}
	for n, host := range r.hosts {
		if host == nil || host.isOrigin || host.departedAt != 0 || host.ejected == r.balancer.Passed(n) {
			continue
		}
		name, passed := host.name, !host.ejected
		if d.mailbox.tryPost(func() { d.execute(d.assignments.Passed(d.now(), name, passed)) }) {
			host.ejected = passed
		}
	}
}

// dutySent notes that a try goes to a node, which is a trial if that is passed over.
func (r *Router) dutyAttemptSent(n int) {
	if d := r.duties; d != nil && !r.hosts[n].isOrigin && r.balancer.Passed(n) {
		name := r.hosts[n].name
		d.mailbox.tryPost(func() {
			d.execute(d.assignments.Passed(d.now(), name, true))
			d.execute(d.assignments.Tried(d.now(), name))
		})
	}
}

// dutyEnded notes that a try at a node that was passed over has come to nothing, or that the node answers.
func (r *Router) dutyAttemptFinished(n int, passed bool) {
	if d := r.duties; d != nil && passed {
		name, still := r.hosts[n].name, r.balancer.Passed(n)
		told := d.mailbox.tryPost(func() {
			if still {
				d.execute(d.assignments.Failed(d.now(), name))
			} else {
				d.execute(d.assignments.Passed(d.now(), name, false))
			}
		})
		if told && !still {
			r.hosts[n].ejected = false
		}
	}
}

// rest has a node's next trial be at a time.
func (r *Router) delayProbe(node string, until balancer.Time) {
	if n, ok := r.hostIndex[node]; ok {
		now := r.clock.Now()
		r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Rest(now, n, until) }))
	}
}

// keep has idle connections to a node be kept for as long as they may, or closed soon.
func (r *Router) setIdleConnOwner(node string, on bool) {
	if n, ok := r.hostIndex[node]; ok {
		r.hosts[n].closeIdleSoon.Store(!on)
		if !on {
			r.hosts[n].mailbox.tryPost(r.hosts[n].closeIdleConns)
		}
	}
}

// duty has discovery be watched, or left to others: what it had told of by then is as old as what they tell.
func (l *List) setWatching(on bool) {
	if l.delegated = !on; on {
		l.startWatch()
		return
	}
	for _, watch := range []*endpointWatch{l.current, l.previous} {
		if watch != nil {
			watch.cancel()
		}
	}
	l.current, l.previous = nil, nil
	l.reportWatching(false)
	if l.peerEndpoints != nil {
		clear(l.peerEndpoints.local)
		l.peerEndpoints.complete = false
	}
}

// watching tells whether the watch lives.
func (l *List) reportWatching(live bool) {
	if d := l.duties; d != nil {
		d.mailbox.tryPost(func() { d.execute(d.assignments.Watching(d.now(), live)) })
	}
}
