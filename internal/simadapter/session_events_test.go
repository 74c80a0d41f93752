package simadapter_test

import "fmt"

func (g *sessionGenerator) bootAll() {
	for i := range g.shape.instances {
		g.boot(g.shape.firstInstance + i)
	}
}

func (g *sessionGenerator) boot(instance int) {
	g.emit("boot", instance, g.random.next()>>11, g.shape.setup(g.t, instance-g.shape.firstInstance))
	g.register(g.presentNodes())
	g.emit("fleet", instance, g.version, g.listNumber, "SAVED")
	g.running[instance] = true
}

// presentNodes returns the nodes of a whole list, which names none that were deleted.
func (g *sessionGenerator) presentNodes() []*endpointNode {
	var presentNodes []*endpointNode
	for _, n := range g.fleet {
		if n.state != "DELETED" {
			presentNodes = append(presentNodes, n)
		}
	}
	return presentNodes
}

func (g *sessionGenerator) register(nodes []*endpointNode) {
	rows := [][]any{}
	for _, n := range nodes {
		rows = append(rows, n.row())
	}
	g.listNumber = (g.listNumber + 1) % 16
	g.emit("register", g.listNumber, rows)
}

func (g *sessionGenerator) stopAll() {
	for i := range g.shape.instances {
		if instance := g.shape.firstInstance + i; g.running[instance] {
			g.emit("power-off", instance)
		}
	}
}

// restartInstances kills an instance now and then, and starts it anew at once or later.
func (g *sessionGenerator) restartInstances() {
	for i := range g.shape.instances {
		instance := g.shape.firstInstance + i
		switch {
		case !g.running[instance] && g.random.percent(30):
			g.boot(instance)
		case g.batches%50 == 40+i && g.running[instance]:
			g.emit("power-off", instance)
			g.discardPending(instance)
			if g.random.percent(50) {
				g.boot(instance)
			}
		}
	}
}

// discardPending voids whatever was on its way to an instance.
func (g *sessionGenerator) discardPending(instance int) {
	delete(g.running, instance)
	g.requests = without(g.requests, func(r *clientRequest) bool { return r.instance == instance })
	g.attempts = without(g.attempts, func(a *upstreamAttempt) bool { return a.request.instance == instance })
	g.timers = without(g.timers, func(t timer) bool { return t.instance == instance })
	g.messages = without(g.messages, func(m peerMessage) bool { return m.instance == instance })
	g.retries = without(g.retries, func(r clientRetry) bool { return r.of.instance == instance })
	g.lists = without(g.lists, func(l listReply) bool { return l.instance == instance })
}

// without returns the items for which drop doesn't hold, in their order.
func without[T any](items []T, drop func(T) bool) []T {
	var kept []T
	for _, item := range items {
		if !drop(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

func (g *sessionGenerator) changeBehaviors() {
	if g.batches%9 != 5 {
		return
	}
	for _, n := range g.fleet {
		n.behavior = healthy
	}
	for range 2 {
		g.fleet[g.random.below(len(g.fleet))].behavior = behavior(g.random.below(int(behaviorCount)))
	}
}

// changeFleet drains, deletes, restarts, adds or reweighs a node and sends out the change.
func (g *sessionGenerator) changeFleet() {
	if g.batches%11 != 7 {
		return
	}
	n := g.fleet[g.random.below(len(g.fleet))]
	switch {
	case n.state == "DELETED", n.state == "DRAINING" && g.random.percent(50):
		n.state, n.since, n.behavior = "SERVING", g.clock, healthy // it comes back after a restart
	case n.state == "DRAINING":
		n.state = "DELETED"
	default:
		n = g.changeServing(n)
	}
	g.version++
	if g.random.percent(25) {
		g.register(g.presentNodes())
		g.sendLists("FULL")
		return
	}
	g.register([]*endpointNode{n})
	g.sendLists("INCREMENTAL")
}

// changeServing restarts, reweighs or drains a serving node, or adds another one, and returns the node that changed.
// Each chance is drawn only where the one before did not hold.
func (g *sessionGenerator) changeServing(n *endpointNode) *endpointNode {
	if g.random.percent(30) {
		n.since = g.clock
		return n
	}
	if g.random.percent(30) {
		added := g.addNode(fmt.Sprintf("10.0.1.%d:8083", g.batches), g.shape.kindOf(false), g.batches)
		added.since = g.clock - 40*millisecond
		return added
	}
	if g.random.percent(30) {
		n.weight += 0.75
		return n
	}
	n.state = "DRAINING"
	return n
}

func (g *sessionGenerator) sendLists(mode string) {
	for i := range g.shape.instances {
		if instance := g.shape.firstInstance + i; g.running[instance] {
			g.emit("fleet", instance, g.version, g.listNumber, mode)
		}
	}
}

// answerListPolls replies to calls of follow, which may fail.
func (g *sessionGenerator) answerListPolls() {
	for _, l := range g.lists {
		if l.dueAt > g.clock {
			continue
		}
		if l.mode == "FAILED" {
			g.emit("fleet", l.instance, g.version, nil, l.mode)
			continue
		}
		g.register(g.presentNodes())
		g.emit("fleet", l.instance, g.version, g.listNumber, l.mode)
	}
	g.lists = without(g.lists, func(l listReply) bool { return l.dueAt <= g.clock })
}

func (g *sessionGenerator) fireTimers() {
	for _, t := range g.timers {
		if t.dueAt <= g.clock {
			g.emit("timeout-fired", t.instance, t.mark)
		}
	}
	g.timers = without(g.timers, func(t timer) bool { return t.dueAt <= g.clock })
}

func (g *sessionGenerator) endAttempts() {
	for _, a := range g.attempts {
		r := a.request
		if a.startsAt > 0 && !a.started && a.startsAt <= g.clock && !r.finished {
			a.started, r.streaming = true, true
			g.emit("started", r.instance, r.id, a.number, a.node, milliseconds(a.startsAt-a.sent))
		}
		if a.endsAt > g.clock {
			continue
		}
		r.finished = r.finished || a.outcome == "pass" || a.started
		g.emit("returned", r.instance, r.id, a.node, a.number, a.note, milliseconds(a.endsAt-a.sent), a.outcome, r.finished, a.report)
	}
	g.attempts = without(g.attempts, func(a *upstreamAttempt) bool { return a.endsAt <= g.clock })
}

func (g *sessionGenerator) deliverMessages() {
	for _, m := range g.messages {
		if m.dueAt <= g.clock {
			g.emit("from-peer", m.instance, m.from, m.payload)
		}
	}
	g.messages = without(g.messages, func(m peerMessage) bool { return m.dueAt <= g.clock })
}

// endClients ends the requests of clients that go early or whose answer is past due.
func (g *sessionGenerator) endClients() {
	for _, r := range g.requests {
		early := r.cancelsAt > 0 && r.cancelsAt <= g.clock
		due := !r.streaming && r.deadline+answerSlack <= g.clock
		if !r.finished && (early || due) {
			r.finished = true
			g.emit("client-left", r.instance, r.id)
		}
	}
}

func (g *sessionGenerator) retryRequests() {
	for _, r := range g.retries {
		if r.dueAt <= g.clock && g.running[r.of.instance] {
			g.arrive(r.of.instance, r.of.route, r.of.key, true)
		}
	}
	g.retries = without(g.retries, func(r clientRetry) bool { return r.dueAt <= g.clock })
}

// arriveRequests brings one or a few new requests, and many in each fourth stretch of batches.
func (g *sessionGenerator) arriveRequests() {
	many := g.random.below(4)
	if g.batches/8%4 == 3 {
		many += 4
	}
	for range many {
		instance := g.shape.firstInstance + g.random.below(g.shape.instances)
		if g.running[instance] {
			g.arrive(instance, g.shape.routes[g.random.below(len(g.shape.routes))], g.pickKey(), false)
		}
	}
}

// pickKey returns a key, nearly always one of a few hot ones, or none.
func (g *sessionGenerator) pickKey() any {
	switch n := g.random.below(100); {
	case n < 10:
		return nil
	case n < 40:
		return uint64(4569004829183723)
	case n < 70:
		return uint64(7 + n%6)
	default:
		return g.random.next() >> 11
	}
}

func (g *sessionGenerator) arrive(instance int, route routeShape, key any, isRetry bool) {
	g.ids++
	remaining := int64(route.overall * millisecond)
	if isRetry {
		remaining -= g.random.between(20, 100) * millisecond
	}
	r := &clientRequest{instance: instance, id: fmt.Sprintf("t/%04d", g.ids), route: route, key: key, deadline: g.clock + remaining}
	if g.random.percent(3) {
		r.cancelsAt = g.clock + g.random.between(5, 60)*millisecond
	}
	var size, predicted any
	if g.random.percent(10) {
		size, predicted = g.random.below(4096), 12.5
	}
	write := route.writes && g.random.percent(70)
	g.requests = append(g.requests, r)
	g.emit("order", instance, r.id, size, predicted, g.pickTenant(), milliseconds(remaining), route.name, isRetry, write, key)
}

func (g *sessionGenerator) pickTenant() any {
	if len(g.shape.tenants) == 0 {
		return []any{nil, 0}[g.random.below(2)]
	}
	if g.random.percent(5) {
		return "unheard-of"
	}
	return g.shape.tenants[g.random.below(len(g.shape.tenants))]
}

// addIgnoredMessages sends what is legal but of no use to the instance.
func (g *sessionGenerator) addIgnoredMessages() {
	instance := g.shape.firstInstance + g.random.below(g.shape.instances)
	if !g.running[instance] || !g.random.percent(20) {
		return
	}
	node := g.fleet[0].name
	switch g.random.below(8) {
	case 0:
		g.emit("sampled", instance, node, 1.4, "pass", map[string]any{"latency_ms": 14.5, "x0": 0.4})
	case 1:
		g.emit("timeout-fired", instance, 9_000_000_000)
	case 2:
		g.emit("client-left", instance, "t/none")
	case 3:
		g.emit("returned", instance, "t/none", node, 0, nil, 3.25, "pass", true, nil)
	case 4:
		g.emit("started", instance, "t/none", 0, node, 2)
	case 5:
		g.emit("from-peer", instance, 2, []any{nil, "", "?!", 7, "z+"}[g.random.below(5)])
	case 6:
		g.emit("fleet", instance, g.version, nil, "FAILED")
	case 7:
		g.emit("sampled", instance, node, 100, "no_route", nil)
	}
}
