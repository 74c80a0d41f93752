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
const maxRequestsInFlight = 1024

// Router is the module's actor. It turns calls from clients, peers and the list into calls on the module, and
// the module's decisions into calls on them.
type Router struct {
	mailbox       mailbox
	balancer      *balancer.Instance
	settings      *settings.Book
	clock         Clock
	wakeTimer     *time.Timer
	wakeAt        balancer.Time   // when it fires, 0: nothing is asked for
	shadow        *shadowBalancer // nil: nothing watches
	slots         []requestSlot   // as many as were ever held at once
	freeSlots     []int
	hosts         []*upstreamHost     // by the module's index of the node, nil where that is free; as many as were listed at a time
	freeHosts     []int               // free indices of nodes
	hostIndex     map[string]int      // emptied as nodes that have gone are forgotten
	openIDs       map[string]struct{} // of exchanges that have an index; emptied with them
	shutdownAt    balancer.Time       // the process ends then, 0: nobody knows when
	dialer        dialer              // to peers
	sockets       *budget
	valueMemory   *budget // bytes of values that are held
	streamMemory  *budget // bytes of values that pass through
	endpoints     *List
	notifyPeers   func(node string, answers bool) // peers, nil: there are none
	zones         *zoneController                 // nil: zones are not judged
	negativeCache *Absent                         // nil: no keys are known to be missing
	duties        *Duties                         // nil: nothing goes by turns
	counters      *Counters
	log           *zap.Logger
}

// slot is where an exchange lives while it has no answer, or tries of it are out.
type requestSlot struct {
	request     *request
	attempts    []*attempt
	inFlight    int
	finished    bool          // it has its final answer, or nobody waits for one
	firstSentAt balancer.Time // when the first try was sent that may have been carried out, 0: none
}

// end notes that nothing is owed any more. Tries that are out but not yet written must not be: they may wait for a
// connection that comes up late, and cancelling may not be allowed.
func (r *Router) markFinished(s *requestSlot) {
	s.finished = true
	s.request.finished.Store(true)
	if s.inFlight == 0 {
		return
	}
	for _, attempt := range s.attempts {
		if host := r.hosts[attempt.host]; host != nil {
			host.mailbox.tryPost(func() { host.abandon(attempt) })
		}
	}
}

// dialer makes connections; tests have one that holds them back.
type dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewRouter returns a module's actor that knows no nodes; sockets is how many it may have open to peers.
func NewRouter(config *settings.Book, seed uint64, clock Clock, sockets int, count *Counters, log *zap.Logger) *Router {
	return &Router{
		mailbox: make(mailbox, 4*maxRequestsInFlight), balancer: balancer.New(clock.Now(), config.Terms, seed), settings: config,
		clock: clock, wakeTimer: time.NewTimer(time.Hour), hostIndex: map[string]int{}, openIDs: map[string]struct{}{}, sockets: newBudget(sockets, &count.UpstreamOpen),
		dialer:      &net.Dialer{Timeout: duration(config.Terms.ConnectTimeout), KeepAlive: -1},
		valueMemory: newBudget(0, &count.Bytes), streamMemory: newBudget(0, &count.Passing),
		counters: count, log: log,
	}
}

// Run carries out calls for as long as the program lives.
func (r *Router) Run() {
	for {
		select {
		case call := <-r.mailbox:
			runRecovered(r.log, r.counters, call)
		case <-r.wakeTimer.C:
			runRecovered(r.log, r.counters, r.timerFired)
		case <-r.zoneTimer():
			runRecovered(r.log, r.counters, r.tickZones)
		case <-r.shadowTimer():
			runRecovered(r.log, r.counters, r.shadowTimerFired)
		}
	}
}

// nodes takes the list, whole or only what changed; first means that it is what this proxy last had.
func (r *Router) updateEndpoints(whole, first bool, list []wire.Target) {
	first = first || len(r.hosts) == 0 // with none known before, nothing tells who is new
	lines := make([]balancer.Listing, 0, len(list))
	now := r.clock.Now()
	r.removeDeparted(now)
	if whole {
		for _, host := range r.hosts {
			if host != nil {
				host.ready.Store(false)
				host.markDeparted(now)
			}
		}
	}
	for _, t := range list {
		n, ok := r.hostIndex[t.Name]
		origin := r.settings.Origin != "" && t.Kind == r.settings.Origin
		if !ok {
			if t.Gone {
				continue // and was never known
			}
			if k := len(r.freeHosts); k > 0 {
				n, r.freeHosts = r.freeHosts[k-1], r.freeHosts[:k-1]
			} else {
				n = len(r.hosts)
				r.hosts = append(r.hosts, nil)
			}
			r.hostIndex[t.Name] = n
			r.hosts[n] = newUpstreamHost(r, n, t.Name, origin)
			r.log.Info("new on the list", zap.Int("node", n), zap.String("peer", t.Name), zap.String("at", t.Address))
		}
		if !ok && !first && t.Since == 0 {
			t.Since = int64(now / 10) // the module takes it to have just started, and so does who is told of it by us
		} else if ok {
			t.Since = max(t.Since, r.hosts[n].endpoint.Since)
		}
		if (t.Address == "" || t.Elsewhere) && ok && r.hosts[n].endpoint.Address != "" {
			t.Address = r.hosts[n].endpoint.Address
		}
		r.hosts[n].endpoint = t
		if t.Address != "" {
			r.hosts[n].addr.Store(&t.Address)
		}
		r.hosts[n].ready.Store(t.Ready)
		if r.hosts[n].departedAt = 0; t.Gone {
			r.hosts[n].markDeparted(now)
		}
		zone, ok := r.settings.Zones[t.Zone]
		if !ok {
			zone = -1
		}
		lines = append(lines, balancer.Listing{
			Node: n, Name: t.Name, Origin: origin, Ready: t.Ready,
			Since: balancer.Time(t.Since) * 10, Weight: t.Weight, Zone: zone, Cell: t.Cell,
		})
	}
	r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Nodes(now, whole, first, lines) }))
	r.updateZoneNodes()
	r.updateDutyNodes()
}

// forgetGone frees the indices of nodes that have been gone for longer than any exchange lives, so that none is left
// that was sent there. All day nodes are replaced by others under new names.
func (r *Router) removeDeparted(now balancer.Time) {
	for n, host := range r.hosts {
		if host != nil && host.departedAt > 0 && now-host.departedAt > r.settings.Longest && host.inFlight == 0 {
			delete(r.hostIndex, host.name)
			r.hosts[n] = nil
			r.freeHosts = append(r.freeHosts, n)
			host.mailbox.post(host.stop)
		}
	}
}

// Targets returns the list as the module has it, or nothing if it is too busy to tell in time.
func (r *Router) Targets() []wire.Target {
	told := make(chan []wire.Target, 1)
	if !r.mailbox.tryPost(func() {
		var list []wire.Target
		for _, host := range r.hosts {
			if host != nil && host.departedAt == 0 {
				list = append(list, host.endpoint)
			}
		}
		told <- list
	}) {
		return nil
	}
	select {
	case list := <-told:
		return list
	case <-time.After(duration(3000)):
		return nil
	}
}

// Until has all that is owed, and what comes from now on, answered within a span of time, since the process is to end.
func (r *Router) Until(span time.Duration) {
	until := r.clock.Now() + balancer.Time(span/(100*time.Microsecond))
	r.mailbox.post(func() {
		r.shutdownAt = until
		now := r.clock.Now()
		r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Until(now, until) }))
	})
}

// Links changes how many connections there may be to peers; idle ones are closed where there may be fewer.
func (r *Router) Links(by int) {
	r.sockets.resize(by)
	if by < 0 {
		r.mailbox.post(r.closeIdleConns)
	}
}

// listFailed hears that a list that the module asked for does not come.
func (r *Router) pollFailed() {
	now := r.clock.Now()
	r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.ListFailed(now) }))
}

// arrive takes an exchange that a client's connection has read whole.
func (r *Router) handleRequest(req *request) {
	route, ok := r.settings.Routes[req.route]
	if !ok {
		req.reply(r.counters, replyError, nil, 0)
		return
	}
	if _, taken := r.openIDs[string(req.id)]; taken {
		// servers would take it for the open one, or turn it away one after the other
		r.counters.Taken.Add(1)
		req.reply(r.counters, replyError, nil, 0)
		return
	}
	r.openIDs[string(req.id)] = struct{}{}
	exchange := balancer.Exchange{
		Route: route, Tenant: -1, Keyed: true, Write: req.value != nil, Repeat: req.isRetry,
		Remaining: min(balancer.Time(req.waitMS)*10, r.settings.Terms.Routes[route].Overall),
	} // nothing is held for longer
	if n, ok := r.settings.Tenants[req.tenant]; ok {
		exchange.Tenant = n
	}
	h := fnv.New64a()
	h.Write(req.key)
	exchange.Key = h.Sum64()
	slot := len(r.slots)
	if n := len(r.freeSlots); n > 0 {
		slot, r.freeSlots = r.freeSlots[n-1], r.freeSlots[:n-1]
	} else {
		r.slots = append(r.slots, requestSlot{})
	}
	r.slots[slot].request = req
	req.slot, req.hasSlot = slot, true
	now := r.clock.Now()
	exchange.Remaining -= now - req.receivedAt
	if r.shutdownAt != 0 {
		exchange.Remaining = min(exchange.Remaining, r.shutdownAt-now)
	}
	r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Arrive(now, slot, exchange) }))
}

// left hears that the client of an exchange has gone.
func (r *Router) clientGone(req *request) {
	if !req.hasSlot || r.slots[req.slot].request != req || r.slots[req.slot].finished {
		return
	}
	r.counters.Left.Add(1)
	now := r.clock.Now()
	decisions := r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Left(now, req.slot) })
	r.markFinished(&r.slots[req.slot])
	r.execute(decisions)
	r.releaseSlot(req.slot)
}

// ended hears how a try came out.
func (r *Router) attemptFinished(attempt *attempt, outcome balancer.Ending, value []byte, stream *stream) {
	s := &r.slots[attempt.slot]
	s.inFlight--
	r.hosts[attempt.host].inFlight--
	r.counters.Ends[outcome].Add(1)
	switch outcome {
	case balancer.Completed, balancer.Fault, balancer.Silent, balancer.Cut, balancer.Undone:
		if s.firstSentAt == 0 {
			s.firstSentAt = attempt.sentAt
		}
	}
	switch {
	case outcome == balancer.Completed && !s.finished && attempt.notFound:
		r.reply(attempt.slot, replyNotFound, nil, 0)
		r.negativeCache.recordMiss(attempt)
	case outcome == balancer.Completed && !s.finished && stream != nil:
		r.markFinished(s)
		s.request.replyStream(r.counters, stream)
	case outcome == balancer.Completed && !s.finished:
		r.reply(attempt.slot, replyCompleted, value, 0)
	case stream != nil:
		stream.abandon()
	default:
		r.valueMemory.release(len(value)) // nobody waits for it
	}
	now := r.clock.Now()
	result := balancer.Answer{Cx: attempt.slot, Node: attempt.host, Ending: outcome, Took: now - attempt.sentAt, Ended: s.finished}
	r.zoneAttemptFinished(attempt.host, outcome, result.Took)
	passed := r.balancer.Passed(attempt.host)
	r.execute(r.decide(now, func(b *balancer.Instance) []balancer.Decision { return b.Returned(now, result) }))
	r.dutyAttemptFinished(attempt.host, passed)
	r.releaseSlot(attempt.slot)
}

// finish gives an exchange its one final answer.
func (r *Router) reply(slot int, kind finalReply, value []byte, after balancer.Time) {
	if s := &r.slots[slot]; !s.finished {
		r.markFinished(s)
		s.request.reply(r.counters, kind, value, int(math.Ceil(float64(after)/10)))
	}
}

// clear gives an index back once nothing more can come for it.
func (r *Router) releaseSlot(slot int) {
	if s := &r.slots[slot]; s.finished && s.inFlight == 0 && s.request != nil {
		delete(r.openIDs, string(s.request.id))
		clear(s.attempts) // or the index would hold the exchange's value until its next use
		*s = requestSlot{attempts: s.attempts[:0]}
		r.freeSlots = append(r.freeSlots, slot)
	}
}

// makeRoom closes idle connections to all peers, when one lacks a socket.
func (r *Router) closeIdleConns() {
	for _, host := range r.hosts {
		if host != nil {
			host.mailbox.tryPost(host.closeIdleConns)
		}
	}
}

// act carries out the module's decisions, in order.
func (r *Router) execute(decisions []balancer.Decision) {
	var unsent []*attempt
	for i := range decisions {
		switch d := &decisions[i]; d.Act {
		case balancer.Send:
			s := &r.slots[d.Cx]
			attempt := &attempt{request: s.request, slot: d.Cx, host: d.Node, sentAt: r.clock.Now(), timeout: d.After}
			if s.firstSentAt > 0 {
				if route := &r.settings.Terms.Routes[r.settings.Routes[s.request.route]]; route.Effect == balancer.Deduped {
					attempt.startBefore = s.firstSentAt + route.Window // later, the repeat would be carried out as well
				}
			}
			s.attempts = append(s.attempts, attempt)
			if r.hosts[d.Node].isOrigin {
				r.negativeCache.beginFetch(attempt)
			}
			if s.inFlight++; s.inFlight > 1 {
				r.counters.Copies.Add(1)
			}
			host := r.hosts[d.Node]
			host.inFlight++
			r.counters.Tries.Add(1)
			r.zoneAttemptSent(d.Node)
			r.dutyAttemptSent(d.Node)
			if !host.mailbox.tryPost(func() { host.send(attempt) }) {
				unsent = append(unsent, attempt)
			}
		case balancer.Cancel:
			attempt := r.slots[d.Cx].attempts[d.Leg]
			r.counters.Cancelled.Add(1)
			host := r.hosts[attempt.host]
			host.mailbox.tryPost(func() { host.cancel(attempt) }) // where it finds no room, the try's own time-out ends it
		case balancer.Shed:
			r.reply(d.Cx, replyShed, nil, d.After)
		case balancer.Error:
			r.reply(d.Cx, replyError, nil, 0)
		case balancer.Wake:
			r.wakeAt = r.clock.Now() + d.After
			r.wakeTimer.Reset(duration(d.After))
		case balancer.Follow:
			r.endpoints.mailbox.tryPost(r.endpoints.startWatch)
		case balancer.Tell:
			if r.notifyPeers != nil {
				r.notifyPeers(r.hosts[d.Node].name, d.Answers)
			}
		case balancer.Log:
			r.log.Info(d.Text)
		}
	}
	for i := range decisions {
		if decisions[i].Act == balancer.Shed || decisions[i].Act == balancer.Error {
			r.releaseSlot(decisions[i].Cx)
		}
	}
	for _, attempt := range unsent {
		r.attemptFinished(attempt, balancer.NeverSent, nil, nil)
	}
}
