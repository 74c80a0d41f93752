package simadapter_test

import (
	"encoding/json"
	"strings"
)

// takeReply records the reply to the previous batch and applies its lines.
func (g *sessionGenerator) takeReply() {
	g.t.Helper()
	text := g.reply.String()
	g.reply.Reset()
	g.output.WriteString(text)
	for line := range strings.Lines(text) {
		var values []any
		if err := json.Unmarshal([]byte(line), &values); err != nil {
			g.t.Fatalf("output line %q: %v", line, err)
		}
		g.applyReplyLine(line, values)
	}
}

func (g *sessionGenerator) applyReplyLine(line string, values []any) {
	g.t.Helper()
	kind, _ := values[0].(string)
	if kind == "eor" {
		return
	}
	instance := int(values[1].(float64))
	switch kind {
	case "try":
		g.startAttempt(g.request(line, instance, values[2]), microseconds(values[3]), values[4].(string))
	case "abort-attempt":
		g.cancelAttempt(instance, values[2], int(values[3].(float64)))
	case "busy":
		g.reject(g.request(line, instance, values[2]), microseconds(values[3]))
	case "finish-error":
		g.request(line, instance, values[2]).finished = true
	case "wake-me":
		g.timers = append(g.timers, timer{instance, g.clock + microseconds(values[2]), values[3]})
	case "follow":
		g.pollList(instance)
	case "publish":
		g.publish(instance, g.shape.firstInstance+int(values[2].(float64)), values[3])
	case "say-log":
	default:
		g.t.Fatalf("unknown message in output line: %s", line)
	}
}

// request returns the request that an output line names, which must have been open at the start of the batch.
func (g *sessionGenerator) request(line string, instance int, id any) *clientRequest {
	g.t.Helper()
	for _, r := range g.requests {
		if r.instance == instance && r.id == id {
			return r
		}
	}
	g.t.Fatalf("output line names no open request: %s", line)
	return nil
}

func (g *sessionGenerator) startAttempt(r *clientRequest, timeout int64, name string) {
	a := &upstreamAttempt{request: r, node: name, number: r.attempts, sent: g.clock}
	r.attempts++
	g.attempts = append(g.attempts, a)
	n := g.node(name)
	a.outcome = g.pickOutcome(r, n)
	a.endsAt = g.clock + g.pickDuration(a.outcome, n)
	if g.random.percent(60) {
		a.report = map[string]any{"queue": g.random.below(9), "x0": 0.25}
	}
	if a.outcome == "pass" || a.outcome == "none_here" {
		a.note = []any{nil, 1, 2, 3}[g.random.below(4)]
	}
	if r.route.stream && (a.outcome == "pass" || a.outcome == "cut") {
		a.startsAt = g.clock + (a.endsAt-g.clock)/2
	}
	if limit := min(g.clock+timeout, r.deadline); a.startsAt == 0 && a.endsAt > limit {
		// Some of the outcomes reach the instance after the timeout.
		a.endsAt, a.outcome = limit+g.random.between(0, 32)*250, "too_slow"
	}
}

func (g *sessionGenerator) node(name string) *endpointNode {
	g.t.Helper()
	for _, n := range g.fleet {
		if n.name == name {
			return n
		}
	}
	g.t.Fatalf("attempt on node %q, which is in no endpoint list", name)
	return nil
}

// pickOutcome chooses the outcome of an attempt at random, depending on the node's behavior.
func (g *sessionGenerator) pickOutcome(r *clientRequest, n *endpointNode) string {
	if r.finished {
		return "stale_send"
	}
	healthyNow := g.random.percent(15) // faulty nodes handle some attempts without a fault
	switch {
	case n.behavior == silent:
		return "too_slow"
	case n.behavior == unreachable && !healthyNow:
		return "no_route"
	case n.behavior == overloaded && !healthyNow:
		return "no_room"
	case n.behavior == faulty && !healthyNow:
		return "fault"
	}
	if g.shape.aside && n.kind != "origin" && g.random.percent(35) {
		return "none_here"
	}
	rare := []string{"fault", "no_room", "too_slow", "no_route", "cut", "cut", "stale_send"}
	if k := g.random.below(80); k < len(rare) {
		return rare[k]
	}
	return "pass"
}

func (g *sessionGenerator) pickDuration(outcome string, n *endpointNode) int64 {
	switch {
	case outcome == "too_slow":
		return 1000 * millisecond // startAttempt reduces this to the attempt's timeout
	case outcome == "stale_send":
		return 250
	case outcome == "no_room", outcome == "no_route":
		return g.random.between(4, 40) * 250
	case n.behavior == slow:
		return g.random.between(70, 160) * millisecond
	case n.kind == "origin":
		return g.random.between(40, 240) * 250
	}
	return g.random.between(12, 100) * 250
}

// cancelAttempt cancels an attempt, unless its stream has started. At random, some attempts keep their outcome, as if
// the cancellation came too late.
func (g *sessionGenerator) cancelAttempt(instance int, id any, number int) {
	for _, a := range g.attempts {
		if a.request.instance != instance || a.request.id != id || a.number != number || a.started {
			continue
		}
		if g.random.percent(15) {
			continue
		}
		a.outcome, a.endsAt, a.startsAt, a.note = "undone", g.clock+750, 0, nil
	}
}

func (g *sessionGenerator) reject(r *clientRequest, retryIn int64) {
	if r.finished {
		return
	}
	r.finished = true
	if g.random.percent(40) {
		g.retries = append(g.retries, clientRetry{g.clock + retryIn + 10*millisecond, r})
	}
}

func (g *sessionGenerator) pollList(instance int) {
	if !g.shape.pollsLists {
		g.t.Fatal("got a poll for the endpoint list in push mode")
	}
	mode := "FULL"
	if g.random.percent(40) {
		mode = "FAILED"
	}
	g.lists = append(g.lists, listReply{instance, g.clock + 15*millisecond, mode})
}

// publish schedules the delivery of a report to a peer. A fifth of the reports are lost.
func (g *sessionGenerator) publish(from, to int, payload any) {
	if !g.running[to] || g.random.percent(20) {
		return
	}
	dueAt := g.clock + g.random.between(3, 30)*millisecond
	g.messages = append(g.messages, peerMessage{to, from - g.shape.firstInstance, dueAt, payload})
}
