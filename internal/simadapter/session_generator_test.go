package simadapter_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"woodproxy/internal/simadapter"
)

const (
	loadBatches  = 100 // batches in which requests arrive
	drainBatches = 14  // batches after these, in which the rest ends
	firstClock   = 5_000_250
	millisecond  = 1000 // the generator counts microseconds, as the simulator does
	answerSlack  = 20 * millisecond
)

// random is a splitmix64 generator; the standard library's may change its numbers between versions.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below returns a number in [0,n).
func (r *random) below(n int) int { return int(r.next() >> 1 % uint64(n)) }

// between returns a number in [least,most].
func (r *random) between(least, most int64) int64 {
	return least + int64(r.below(int(most-least+1)))
}

// percent holds by chance.
func (r *random) percent(p int) bool { return r.below(100) < p }

// mood is how a cache node or an origin behaves for a while.
type mood int

const (
	healthy mood = iota
	silent
	unreachable
	refusing
	faulty
	slow
	moods
)

type fleetNode struct {
	name, kind, zone, state string
	cell                    int
	since                   int64
	weight                  float64
	mood                    mood
}

// row is the node's entry in a register message.
func (n *fleetNode) row() []any {
	var since any = milliseconds(n.since)
	if n.since == 0 {
		since = nil
	}
	return []any{n.kind, n.state, n.cell, since, n.weight, n.zone, n.name}
}

type clientRequest struct {
	who       int
	id        string
	route     routeShape
	key       any
	deadline  int64
	leavesAt  int64 // 0: the client stays until its deadline
	attempts  int
	finished  bool
	streaming bool
}

type upstreamAttempt struct {
	request   *clientRequest
	node      string
	leg       int
	sent      int64
	startsAt  int64 // of a stream; 0: none
	started   bool
	endsAt    int64
	ending    string
	info, sum any // the note and the load report
}

type timer struct {
	who   int
	dueAt int64
	mark  any
}

type peerMessage struct {
	who, from int
	dueAt     int64
	payload   any
}

type repeat struct {
	dueAt int64
	of    *clientRequest
}

type listReply struct {
	who   int
	dueAt int64
	mode  string
}

// sessionGenerator plays the simulator: Serve reads the batches that it makes, and each reply is taken into account
// before the next batch is made.
type sessionGenerator struct {
	t        *testing.T
	shape    *sessionShape
	random   random
	clock    int64
	batches  int
	pending  []byte   // of the batch that is being read
	lines    []string // of the batch that is being made
	reply    bytes.Buffer
	input    bytes.Buffer
	output   bytes.Buffer
	fleet    []*fleetNode
	running  map[int]bool
	requests []*clientRequest
	attempts []*upstreamAttempt
	timers   []timer
	messages []peerMessage
	repeats  []repeat
	lists    []listReply
	version  int
	bank     int
	ids      int
}

// generateSession returns a session's input and output lines.
func generateSession(t *testing.T, shape *sessionShape) (input, output []byte) {
	t.Helper()
	g := &sessionGenerator{t: t, shape: shape, random: random{shape.seed}, clock: firstClock, running: map[int]bool{}}
	g.makeFleet()
	if err := simadapter.Serve(g, &g.reply); err != nil {
		t.Fatalf("%s: %v", shape.name, err)
	}
	return g.input.Bytes(), g.output.Bytes()
}

// Read gives out the batches one by one. Serve asks for the next one only when it has flushed its last reply.
func (g *sessionGenerator) Read(p []byte) (int, error) {
	if len(g.pending) == 0 {
		g.takeReply()
		if g.batches == loadBatches+drainBatches {
			return 0, io.EOF
		}
		g.makeBatch()
	}
	n := copy(p, g.pending)
	g.pending = g.pending[n:]
	return n, nil
}

func milliseconds(us int64) float64 { return float64(us) / millisecond }

func microseconds(ms any) int64 {
	n, _ := ms.(float64)
	return int64(n * millisecond)
}

// emit adds a line to the batch.
func (g *sessionGenerator) emit(values ...any) {
	g.t.Helper()
	line, err := json.Marshal(values)
	if err != nil {
		g.t.Fatal(err)
	}
	g.lines = append(g.lines, string(line))
}

func (g *sessionGenerator) makeFleet() {
	for i := range g.shape.caches {
		g.addNode("10.0.0."+fmt.Sprint(i+1)+":8083", g.shape.kindOf(false), i)
	}
	for i := range g.shape.origins {
		g.addNode("10.9.0."+fmt.Sprint(i+1)+":8124", g.shape.kindOf(true), i)
	}
}

func (g *sessionGenerator) addNode(name, kind string, i int) *fleetNode {
	n := &fleetNode{name: name, kind: kind, state: "SERVING", cell: i / 2, weight: 1, zone: []string{"a", "b", "c", "east"}[i%4]}
	if i%3 == 1 {
		n.weight = 1.5
	}
	g.fleet = append(g.fleet, n)
	return n
}

func (s *sessionShape) kindOf(origin bool) string {
	if origin {
		return "origin"
	}
	if strings.Contains(s.settings, `"std"`) {
		return "std"
	}
	return "small"
}

// makeBatch builds one batch and records it.
func (g *sessionGenerator) makeBatch() {
	g.lines = g.lines[:0]
	g.advanceClock()
	g.emit("mark", milliseconds(g.clock))
	switch {
	case g.batches == 0: // an empty one, as the simulator begins
	case g.batches == 1:
		g.bootAll()
	case g.batches == loadBatches+drainBatches-1:
		g.stopAll()
	default:
		g.makeEvents()
	}
	g.emit("go")
	g.batches++
	g.pending = []byte(strings.Join(g.lines, "\n") + "\n")
	g.input.Write(g.pending)
}

func (g *sessionGenerator) advanceClock() {
	switch {
	case g.batches >= loadBatches:
		g.clock += g.random.between(20, 90) * millisecond
	case g.batches%37 == 36:
		g.clock += g.random.between(200, 2500) * millisecond
	default:
		g.clock += g.random.between(2, 14) * g.shape.pace
	}
}

func (g *sessionGenerator) makeEvents() {
	// a reply may still name what ended by another event of its batch
	g.requests = without(g.requests, func(r *clientRequest) bool { return r.finished })
	g.changeMoods()
	g.changeFleet()
	g.restartInstances()
	g.answerListCalls()
	if g.random.percent(50) { // either order happens within a batch
		g.fireTimers()
		g.endAttempts()
	} else {
		g.endAttempts()
		g.fireTimers()
	}
	g.deliverMessages()
	g.leaveClients()
	if g.batches < loadBatches {
		g.repeatRequests()
		g.arriveRequests()
		g.addOddities()
	}
}

func (g *sessionGenerator) bootAll() {
	for i := range g.shape.instances {
		g.boot(g.shape.firstWho + i)
	}
}

func (g *sessionGenerator) boot(who int) {
	g.emit("boot", who, g.random.next()>>11, g.shape.setup(g.t, who-g.shape.firstWho))
	g.register(g.listed())
	g.emit("fleet", who, g.version, g.bank, "SAVED")
	g.running[who] = true
}

// listed returns the nodes of a whole list, which names none that were deleted.
func (g *sessionGenerator) listed() []*fleetNode {
	var listed []*fleetNode
	for _, n := range g.fleet {
		if n.state != "DELETED" {
			listed = append(listed, n)
		}
	}
	return listed
}

func (g *sessionGenerator) register(nodes []*fleetNode) {
	rows := [][]any{}
	for _, n := range nodes {
		rows = append(rows, n.row())
	}
	g.bank = (g.bank + 1) % 16
	g.emit("register", g.bank, rows)
}

func (g *sessionGenerator) stopAll() {
	for i := range g.shape.instances {
		if who := g.shape.firstWho + i; g.running[who] {
			g.emit("power-off", who)
		}
	}
}

// restartInstances kills an instance now and then, and starts it anew at once or later.
func (g *sessionGenerator) restartInstances() {
	for i := range g.shape.instances {
		who := g.shape.firstWho + i
		switch {
		case !g.running[who] && g.random.percent(30):
			g.boot(who)
		case g.batches%50 == 40+i && g.running[who]:
			g.emit("power-off", who)
			g.forget(who)
			if g.random.percent(50) {
				g.boot(who)
			}
		}
	}
}

// forget voids whatever was on its way to an instance.
func (g *sessionGenerator) forget(who int) {
	delete(g.running, who)
	g.requests = without(g.requests, func(r *clientRequest) bool { return r.who == who })
	g.attempts = without(g.attempts, func(a *upstreamAttempt) bool { return a.request.who == who })
	g.timers = without(g.timers, func(t timer) bool { return t.who == who })
	g.messages = without(g.messages, func(m peerMessage) bool { return m.who == who })
	g.repeats = without(g.repeats, func(r repeat) bool { return r.of.who == who })
	g.lists = without(g.lists, func(l listReply) bool { return l.who == who })
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

func (g *sessionGenerator) changeMoods() {
	if g.batches%9 != 5 {
		return
	}
	for _, n := range g.fleet {
		n.mood = healthy
	}
	for range 2 {
		g.fleet[g.random.below(len(g.fleet))].mood = mood(g.random.below(int(moods)))
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
		n.state, n.since, n.mood = "SERVING", g.clock, healthy // it comes back after a restart
	case n.state == "DRAINING":
		n.state = "DELETED"
	case g.random.percent(30):
		n.since = g.clock
	case g.random.percent(30):
		n = g.addNode(fmt.Sprintf("10.0.1.%d:8083", g.batches), g.shape.kindOf(false), g.batches)
		n.since = g.clock - 40*millisecond
	case g.random.percent(30):
		n.weight += 0.75
	default:
		n.state = "DRAINING"
	}
	g.version++
	if g.random.percent(25) {
		g.register(g.listed())
		g.tellLists("FULL")
		return
	}
	g.register([]*fleetNode{n})
	g.tellLists("INCREMENTAL")
}

func (g *sessionGenerator) tellLists(mode string) {
	for i := range g.shape.instances {
		if who := g.shape.firstWho + i; g.running[who] {
			g.emit("fleet", who, g.version, g.bank, mode)
		}
	}
}

// answerListCalls replies to calls of follow, which may fail.
func (g *sessionGenerator) answerListCalls() {
	for _, l := range g.lists {
		if l.dueAt > g.clock {
			continue
		}
		if l.mode == "FAILED" {
			g.emit("fleet", l.who, g.version, nil, l.mode)
			continue
		}
		g.register(g.listed())
		g.emit("fleet", l.who, g.version, g.bank, l.mode)
	}
	g.lists = without(g.lists, func(l listReply) bool { return l.dueAt <= g.clock })
}

func (g *sessionGenerator) fireTimers() {
	for _, t := range g.timers {
		if t.dueAt <= g.clock {
			g.emit("timeout-fired", t.who, t.mark)
		}
	}
	g.timers = without(g.timers, func(t timer) bool { return t.dueAt <= g.clock })
}

func (g *sessionGenerator) endAttempts() {
	for _, a := range g.attempts {
		r := a.request
		if a.startsAt > 0 && !a.started && a.startsAt <= g.clock && !r.finished {
			a.started, r.streaming = true, true
			g.emit("started", r.who, r.id, a.leg, a.node, milliseconds(a.startsAt-a.sent))
		}
		if a.endsAt > g.clock {
			continue
		}
		r.finished = r.finished || a.ending == "pass" || a.started
		g.emit("returned", r.who, r.id, a.node, a.leg, a.info, milliseconds(a.endsAt-a.sent), a.ending, r.finished, a.sum)
	}
	g.attempts = without(g.attempts, func(a *upstreamAttempt) bool { return a.endsAt <= g.clock })
}

func (g *sessionGenerator) deliverMessages() {
	for _, m := range g.messages {
		if m.dueAt <= g.clock {
			g.emit("from-peer", m.who, m.from, m.payload)
		}
	}
	g.messages = without(g.messages, func(m peerMessage) bool { return m.dueAt <= g.clock })
}

// leaveClients ends the requests of clients that go early or whose answer is past due.
func (g *sessionGenerator) leaveClients() {
	for _, r := range g.requests {
		early := r.leavesAt > 0 && r.leavesAt <= g.clock
		due := !r.streaming && r.deadline+answerSlack <= g.clock
		if !r.finished && (early || due) {
			r.finished = true
			g.emit("client-left", r.who, r.id)
		}
	}
}

func (g *sessionGenerator) repeatRequests() {
	for _, r := range g.repeats {
		if r.dueAt <= g.clock && g.running[r.of.who] {
			g.arrive(r.of.who, r.of.route, r.of.key, true)
		}
	}
	g.repeats = without(g.repeats, func(r repeat) bool { return r.dueAt <= g.clock })
}

// arriveRequests brings one or a few new requests, and many in each fourth stretch of batches.
func (g *sessionGenerator) arriveRequests() {
	many := g.random.below(4)
	if g.batches/8%4 == 3 {
		many += 4
	}
	for range many {
		who := g.shape.firstWho + g.random.below(g.shape.instances)
		if g.running[who] {
			g.arrive(who, g.shape.routes[g.random.below(len(g.shape.routes))], g.pickKey(), false)
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

func (g *sessionGenerator) arrive(who int, route routeShape, key any, again bool) {
	g.ids++
	remaining := int64(route.overall * millisecond)
	if again {
		remaining -= g.random.between(20, 100) * millisecond
	}
	r := &clientRequest{who: who, id: fmt.Sprintf("t/%04d", g.ids), route: route, key: key, deadline: g.clock + remaining}
	if g.random.percent(3) {
		r.leavesAt = g.clock + g.random.between(5, 60)*millisecond
	}
	var size, predicted any
	if g.random.percent(10) {
		size, predicted = g.random.below(4096), 12.5
	}
	write := route.writes && g.random.percent(70)
	g.requests = append(g.requests, r)
	g.emit("order", who, r.id, size, predicted, g.pickTenant(), milliseconds(remaining), route.name, again, write, key)
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

// addOddities sends what is legal but of no use to the instance.
func (g *sessionGenerator) addOddities() {
	who := g.shape.firstWho + g.random.below(g.shape.instances)
	if !g.running[who] || !g.random.percent(20) {
		return
	}
	node := g.fleet[0].name
	switch g.random.below(8) {
	case 0:
		g.emit("sampled", who, node, 1.4, "pass", map[string]any{"latency_ms": 14.5, "x0": 0.4})
	case 1:
		g.emit("timeout-fired", who, 9_000_000_000)
	case 2:
		g.emit("client-left", who, "t/none")
	case 3:
		g.emit("returned", who, "t/none", node, 0, nil, 3.25, "pass", true, nil)
	case 4:
		g.emit("started", who, "t/none", 0, node, 2)
	case 5:
		g.emit("from-peer", who, 2, []any{nil, "", "?!", 7, "z+"}[g.random.below(5)])
	case 6:
		g.emit("fleet", who, g.version, nil, "FAILED")
	case 7:
		g.emit("sampled", who, node, 100, "no_route", nil)
	}
}
