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
	loadBatches     = 100 // number of batches in which requests arrive
	drainBatches    = 14  // number of final batches, in which open requests finish and no new ones arrive
	firstClock      = 5_000_250
	millisecond     = 1000             // the generator counts microseconds, as the simulator does
	disconnectSlack = 20 * millisecond // time after a request's deadline at which its client disconnects
)

// sessionGenerator takes the place of the simulator. It generates the batches that Serve reads, and processes the reply
// to each batch before it generates the next one.
type sessionGenerator struct {
	t          *testing.T
	shape      *sessionShape
	random     random
	clock      int64
	batches    int
	pending    []byte   // unread part of the current batch
	lines      []string // lines of the batch that is being generated
	reply      bytes.Buffer
	input      bytes.Buffer
	output     bytes.Buffer
	fleet      []*endpointNode
	running    map[int]bool
	requests   []*clientRequest
	attempts   []*upstreamAttempt
	timers     []timer
	messages   []peerMessage
	retries    []clientRetry
	lists      []listReply
	version    int
	listNumber int
	ids        int
}

// generateSession runs a session and returns its input and output lines.
func generateSession(t *testing.T, shape *sessionShape) (input, output []byte) {
	t.Helper()
	g := &sessionGenerator{t: t, shape: shape, random: random{shape.seed}, clock: firstClock, running: map[int]bool{}}
	g.makeEndpoints()
	if err := simadapter.Serve(g, &g.reply); err != nil {
		t.Fatalf("%s: %v", shape.name, err)
	}
	return g.input.Bytes(), g.output.Bytes()
}

// Read returns the batches one by one. Serve reads the next batch only after it has flushed its reply to the previous
// one.
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

// emit appends a message to the batch.
func (g *sessionGenerator) emit(values ...any) {
	g.t.Helper()
	line, err := json.Marshal(values)
	if err != nil {
		g.t.Fatal(err)
	}
	g.lines = append(g.lines, string(line))
}

func (g *sessionGenerator) makeEndpoints() {
	for i := range g.shape.caches {
		g.addNode("10.0.0."+fmt.Sprint(i+1)+":8083", g.shape.kindOf(false), i)
	}
	for i := range g.shape.origins {
		g.addNode("10.9.0."+fmt.Sprint(i+1)+":8124", g.shape.kindOf(true), i)
	}
}

func (g *sessionGenerator) addNode(name, kind string, i int) *endpointNode {
	n := &endpointNode{name: name, kind: kind, state: "SERVING", cell: i / 2, weight: 1, zone: []string{"a", "b", "c", "east"}[i%4]}
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

// makeBatch generates one batch and records it in the session's input.
func (g *sessionGenerator) makeBatch() {
	g.lines = g.lines[:0]
	g.advanceClock()
	g.emit("mark", milliseconds(g.clock))
	switch g.batches {
	case 0: // the simulator starts with an empty batch
	case 1:
		g.bootAll()
	case loadBatches + drainBatches - 1:
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
	// Finished requests are removed only now, since the reply to the previous batch may still name a request that
	// finished in that batch.
	g.requests = without(g.requests, func(r *clientRequest) bool { return r.finished })
	g.changeBehaviors()
	g.changeFleet()
	g.restartInstances()
	g.sendPolledLists()
	if g.random.percent(50) { // both orders occur within a batch
		g.fireTimers()
		g.finishAttempts()
	} else {
		g.finishAttempts()
		g.fireTimers()
	}
	g.deliverMessages()
	g.disconnectClients()
	if g.batches < loadBatches {
		g.retryRequests()
		g.addNewRequests()
		g.addIgnoredMessages()
	}
}
