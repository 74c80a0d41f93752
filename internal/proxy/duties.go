package proxy

import (
	"sync/atomic"
	"time"

	"woodproxy/balancer"
	"woodproxy/duties"

	"go.uber.org/zap"
)

const (
	dutyTick          = 100 * time.Millisecond
	dutiesMailboxSize = 1024
)

// dutyBroadcast sends a report under a duty to the other proxies. The report expires after lifetime. The function must
// not block.
type dutyBroadcast = func(kind duties.ReportKind, key string, report duties.Report, lifetime duties.Time)

// Duties is the goroutine that manages the duties that the proxies divide among themselves: health checks, discovery
// watches and idle connections. The router posts its observations without blocking, and Duties posts the resulting
// calls to the router, to the endpoint list and, through the router, to hosts. Exported methods may be called from any
// goroutine.
type Duties struct {
	mailbox     mailbox
	assignments *duties.Assigner
	clock       Clock
	router      *Router
	list        *EndpointList
	broadcast   dutyBroadcast
	stats       atomic.Pointer[duties.Stats]
	counters    *Counters
	log         *zap.Logger
	nodesStale  bool // the latest list of caches was dropped, as the mailbox was full; accessed only by the router's goroutine
}

// NewDuties returns the duties of a router and an endpoint list. It must be called before the Run methods of both.
func NewDuties(config duties.Settings, router *Router, list *EndpointList, broadcast dutyBroadcast, log *zap.Logger) *Duties {
	d := &Duties{
		mailbox: make(mailbox, dutiesMailboxSize), assignments: duties.New(duties.Time(router.clock.Now()), config),
		clock: router.clock, router: router, list: list, broadcast: broadcast, counters: router.counters, log: log,
	}
	d.stats.Store(&duties.Stats{})
	router.duties, list.duties = d, d
	return d
}

// Run executes posted calls until the process ends.
func (d *Duties) Run() { d.mailbox.run(d.log, d.counters, dutyTick, d.tick) }

func (d *Duties) tick() {
	d.router.mailbox.tryPost(d.router.reportEjections)
	runRecovered(d.log, d.counters, func() { d.execute(d.assignments.Tick(d.now())) })
	stats := d.assignments.Statistics()
	d.stats.Store(&stats)
}

func (d *Duties) now() duties.Time { return duties.Time(d.clock.Now()) }

// Stats returns the statistics of the duties as of the last tick.
func (d *Duties) Stats() duties.Stats { return *d.stats.Load() }

// SetMembers sets the list of proxies. catchingUp means that the list may still be incomplete.
func (d *Duties) SetMembers(all []duties.Proxy, catchingUp bool) {
	d.mailbox.tryPost(func() { d.execute(d.assignments.SetMembers(d.now(), all, catchingUp)) })
}

// Receive handles another proxy's report under a duty. age is the time since the report was sent.
func (d *Duties) Receive(from string, kind duties.ReportKind, key string, report duties.Report, age duties.Time) {
	d.mailbox.tryPost(func() { d.execute(d.assignments.HandleReport(d.now(), from, kind, key, report, age)) })
}

// execute carries out the decisions of the duty assigner.
func (d *Duties) execute(decisions []duties.Decision) {
	for _, decision := range decisions {
		switch decision.Action {
		case duties.ScheduleProbe:
			d.router.mailbox.post(func() { d.router.delayProbe(decision.Node, balancer.Time(decision.NotBefore)) })
		case duties.SetSuspicion:
			d.router.ReceivePeerReport(decision.Node, !decision.Enabled)
		case duties.SetIdleConnections:
			d.router.mailbox.post(func() { d.router.setIdleConnOwner(decision.Node, decision.Enabled) })
		case duties.SetWatch:
			d.list.mailbox.post(func() { d.list.setWatching(decision.Enabled) })
		case duties.Broadcast:
			d.broadcast(decision.Kind, decision.Key, decision.Report, decision.TTL)
		case duties.LogMessage:
			d.log.Info("duties: " + decision.Text)
		}
	}
}

// The functions below run on the router's goroutine.

// updateDutyNodes passes the names of the listed caches to the duties.
func (r *Router) updateDutyNodes() {
	d := r.duties
	if d == nil {
		return
	}
	var names []string
	for _, h := range r.hosts {
		if h != nil && h.isServing() {
			names = append(names, h.name)
		}
	}
	// If the mailbox is full, reportEjections calls this function again.
	d.nodesStale = !d.mailbox.tryPost(func() { d.execute(d.assignments.SetNodes(d.now(), names)) })
}

// reportEjections reports to the duties which hosts have been ejected or returned to service since its last call.
func (r *Router) reportEjections() {
	d := r.duties
	if d.nodesStale {
		r.updateDutyNodes()
	}
	for index, h := range r.hosts {
		if h == nil || h.isOrigin || h.departedAt != 0 || h.ejected == r.balancer.IsEjected(index) {
			continue
		}
		name, ejected := h.name, !h.ejected
		if d.mailbox.tryPost(func() { d.execute(d.assignments.SetEjected(d.now(), name, ejected)) }) {
			h.ejected = ejected
		}
	}
}

// dutyAttemptSent reports an attempt to the duties if its host is ejected: the attempt is then a health check probe.
func (r *Router) dutyAttemptSent(index int) {
	d, h := r.duties, r.hosts[index]
	if d == nil || h.isOrigin || !r.balancer.IsEjected(index) {
		return
	}
	name := h.name
	d.mailbox.tryPost(func() {
		d.execute(d.assignments.SetEjected(d.now(), name, true))
		d.execute(d.assignments.ProbeSent(d.now(), name))
	})
}

// dutyAttemptFinished reports the end of an attempt to a host that was ejected before: either the health check probe
// has failed, or the host has returned to service.
func (r *Router) dutyAttemptFinished(index int, wasEjected bool) {
	d, h := r.duties, r.hosts[index]
	if d == nil || !wasEjected {
		return
	}
	name, stillEjected := h.name, r.balancer.IsEjected(index)
	posted := d.mailbox.tryPost(func() {
		if stillEjected {
			d.execute(d.assignments.ProbeFailed(d.now(), name))
		} else {
			d.execute(d.assignments.SetEjected(d.now(), name, false))
		}
	})
	if posted && !stillEjected {
		h.ejected = false
	}
}

// delayProbe postpones a host's next health check probe until the given time.
func (r *Router) delayProbe(node string, until balancer.Time) {
	if index, ok := r.hostIndex[node]; ok {
		now := r.clock.Now()
		r.apply(now, func(b *balancer.Balancer) []balancer.Decision { return b.DelayProbe(now, index, until) })
	}
}

// setIdleConnOwner sets whether this proxy has the duty to keep idle connections to a host. An owner keeps them up to
// their idle timeout; any other proxy closes the current ones, and later ones after nonOwnerIdleTimeout.
func (r *Router) setIdleConnOwner(node string, isOwner bool) {
	index, ok := r.hostIndex[node]
	if !ok {
		return
	}
	h := r.hosts[index]
	h.closeIdleSoon.Store(!isOwner)
	if !isOwner {
		h.releaseIdleConns()
	}
}
