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

// presentNodes returns the nodes of a complete endpoint list, which excludes deleted nodes.
func (g *sessionGenerator) presentNodes() []*endpointNode {
	var present []*endpointNode
	for _, n := range g.fleet {
		if n.state != "DELETED" {
			present = append(present, n)
		}
	}
	return present
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

// restartInstances occasionally kills an instance, and restarts it immediately or in a later batch.
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

// discardPending discards all events that are scheduled for an instance.
func (g *sessionGenerator) discardPending(instance int) {
	delete(g.running, instance)
	g.requests = without(g.requests, func(r *clientRequest) bool { return r.instance == instance })
	g.attempts = without(g.attempts, func(a *upstreamAttempt) bool { return a.request.instance == instance })
	g.timers = without(g.timers, func(t timer) bool { return t.instance == instance })
	g.messages = without(g.messages, func(m peerMessage) bool { return m.instance == instance })
	g.retries = without(g.retries, func(r clientRetry) bool { return r.of.instance == instance })
	g.lists = without(g.lists, func(l listReply) bool { return l.instance == instance })
}

// without returns the items for which drop reports false, in their order.
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

// changeFleet drains, deletes, restarts, adds or reweights a node and sends the change to the instances.
func (g *sessionGenerator) changeFleet() {
	if g.batches%11 != 7 {
		return
	}
	n := g.fleet[g.random.below(len(g.fleet))]
	switch {
	case n.state == "DELETED", n.state == "DRAINING" && g.random.percent(50):
		n.state, n.since, n.behavior = "SERVING", g.clock, healthy // the node returns after a restart
	case n.state == "DRAINING":
		n.state = "DELETED"
	default:
		n = g.changeServingNode(n)
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

// changeServingNode restarts, reweights or drains a serving node, or adds another node, and returns the changed node. Each
// random number is drawn only if the previous one did not select a change.
func (g *sessionGenerator) changeServingNode(n *endpointNode) *endpointNode {
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

// sendPolledLists sends the results of the endpoint list polls (follow messages) that are due. A poll can fail.
func (g *sessionGenerator) sendPolledLists() {
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

func (g *sessionGenerator) finishAttempts() {
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

// disconnectClients cancels the requests of clients that disconnect early or have waited past their deadline.
func (g *sessionGenerator) disconnectClients() {
	for _, r := range g.requests {
		early := r.cancelsAt > 0 && r.cancelsAt <= g.clock
		due := !r.streaming && r.deadline+disconnectSlack <= g.clock
		if !r.finished && (early || due) {
			r.finished = true
			g.emit("client-left", r.instance, r.id)
		}
	}
}

func (g *sessionGenerator) retryRequests() {
	for _, r := range g.retries {
		if r.dueAt <= g.clock && g.running[r.of.instance] {
			g.addRequest(r.of.instance, r.of.route, r.of.key, true)
		}
	}
	g.retries = without(g.retries, func(r clientRetry) bool { return r.dueAt <= g.clock })
}

// addNewRequests sends up to three new requests, and four more in the last eight of each 32 batches.
func (g *sessionGenerator) addNewRequests() {
	many := g.random.below(4)
	if g.batches/8%4 == 3 {
		many += 4
	}
	for range many {
		instance := g.shape.firstInstance + g.random.below(g.shape.instances)
		if g.running[instance] {
			g.addRequest(instance, g.shape.routes[g.random.below(len(g.shape.routes))], g.pickKey(), false)
		}
	}
}

// pickKey returns no key, one of a few hot keys, or a random key.
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

func (g *sessionGenerator) addRequest(instance int, route routeShape, key any, isRetry bool) {
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

// addIgnoredMessages occasionally sends a valid message that the instance ignores.
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
