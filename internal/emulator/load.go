package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome string

// Outcomes of requests.
const (
	Completed         Outcome = "completed" // answered with success, in time or not
	Rejected          Outcome = "shed"      // answered as rejected by load shedding
	Failed            Outcome = "errored"   // answered with another error
	Unanswered        Outcome = "lost"      // not answered
	Abandoned         Outcome = "left"      // the client left before the answer
	ConnectionRefused Outcome = "refused"   // no proxy accepted a connection
)

// Result is the outcome of one request. Both times count from when the request was scheduled.
type Result struct {
	Request   Request
	Outcome   Outcome
	Latency   time.Duration
	SendDelay time.Duration
}

const (
	dialTimeout         = time.Second
	pingTimeout         = 2 * time.Second
	lateSendThreshold   = 5 * time.Millisecond   // a request sent later than that shows that the load generator itself ran late
	clientGrace         = 500 * time.Millisecond // beyond the overall timeout, until a client gives up
	longReplyTimeout   = 10 * time.Second       // for the rest of an answer that has begun
	idleProbeTimeout    = 100 * time.Microsecond // within which an end of an idle connection, or an unexpected answer, is seen
	dialAttempts        = 3
	dialRetryDelay      = 20 * time.Millisecond
	clientBufferSize    = 2 << 10
	writtenValue        = "vvvvvvvv"
	noteDuringReply        = "amid the answer" // ConnectionClosed: in the middle of an answer
	noteUnexpectedReply = "again"           // AnswerReceived: without another request
)

// loadGenerator sends the plan's requests at their times, whatever has become of earlier ones (open loop).
type loadGenerator struct {
	plan      *Plan
	log       *EventLog
	cluster   *cluster
	available []*atomic.Bool // by proxy: clients are sent to it
	draining  []*atomic.Bool // by proxy: it was told to end, and clients go on using the connections that they have
	addresses []string       // by proxy
	inFlight  sync.WaitGroup
	start     time.Time // of the scenario

	mu      sync.Mutex
	idle    [][]*clientConn // by proxy
	results []Result
}

func newLoadGenerator(plan *Plan, log *EventLog, c *cluster) *loadGenerator {
	return &loadGenerator{plan: plan, log: log, cluster: c, idle: make([][]*clientConn, plan.Scenario.Proxies)}
}

// addProxy adds the next proxy, which is not available yet.
func (g *loadGenerator) addProxy(address string) {
	g.available, g.draining = append(g.available, &atomic.Bool{}), append(g.draining, &atomic.Bool{})
	g.addresses = append(g.addresses, address)
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader        *bufio.Reader
	proxy         int
	reused        bool   // it served a request before
	lastRequestID string // of the latest request on it
}

func (g *loadGenerator) dial(proxy int) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", g.addresses[proxy], dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReaderSize(conn, clientBufferSize), proxy: proxy}, nil
}

// requestFacts are the facts that a client states of a request, but for its idempotency key.
func (r Route) requestFacts() string { return fmt.Sprintf("c=%s,t=all,d=%d", r.Name, int(r.TimeoutMS)) }

// run sends the requests, until all are sent or the context ends.
func (g *loadGenerator) run(ctx context.Context, start time.Time) {
	g.start = start
	for _, request := range g.plan.Requests {
		scheduledAt := start.Add(request.At)
		if !sleep(ctx, time.Until(scheduledAt)) {
			return
		}
		g.inFlight.Go(func() { g.sendOne(request, scheduledAt) })
	}
}

// openHeldConns opens the connections that clients hold throughout the scenario.
func (g *loadGenerator) openHeldConns() error {
	for proxy := range g.addresses {
		for range g.plan.Scenario.Load.Connections {
			conn, err := g.dial(proxy)
			if err != nil {
				return err
			}
			if err := conn.ping(); err != nil {
				return fmt.Errorf("a client is not let in: %w", errors.Join(err, conn.Close()))
			}
			g.idle[proxy] = append(g.idle[proxy], conn)
		}
	}
	return nil
}

// ping checks that the proxy has admitted the connection.
func (c *clientConn) ping() error {
	if err := c.SetDeadline(time.Now().Add(pingTimeout)); err != nil {
		return err
	}
	if _, err := c.Write(encodeCommand("PING")); err != nil {
		return err
	}
	_, _, err := ReadElement(c.reader)
	return err
}

// close waits for all outcomes and closes the connections.
func (g *loadGenerator) close() {
	g.inFlight.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conns := range g.idle {
		for _, conn := range conns {
			_ = conn.Close() // the proxy may have closed it
		}
	}
	g.idle = nil
}

func (g *loadGenerator) sendOne(request Request, scheduledAt time.Time) {
	sendDelay := time.Since(scheduledAt)
	if sendDelay > lateSendThreshold {
		g.log.Record(Event{Kind: SentLate, RequestID: request.ID, Proxy: -1, Figure: float64(sendDelay) / 1e6})
	}
	outcome := g.perform(request)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, Result{request, outcome, time.Since(scheduledAt), sendDelay})
}

// pickProxy returns the request's own proxy, or the next that is available.
func (g *loadGenerator) pickProxy(request Request) int {
	for i := range g.available {
		if proxy := (request.Proxy + i) % len(g.available); g.available[proxy].Load() {
			return proxy
		}
	}
	return request.Proxy
}

// perform sends a request and returns its outcome. It retries on a new connection where the proxy closed an idle one as the
// request was on its way, and elsewhere where no connection was accepted.
func (g *loadGenerator) perform(request Request) Outcome {
	for attempt := 1; ; attempt++ {
		conn := g.takeDraining(request.Proxy, attempt == 1)
		var err error
		if conn == nil {
			conn, err = g.takeConn(g.pickProxy(request), attempt == 1)
		}
		if err != nil {
			if attempt < dialAttempts {
				time.Sleep(dialRetryDelay)
				continue
			}
			return ConnectionRefused
		}
		outcome, err := g.exchange(conn, request)
		if err == nil || !conn.reused {
			return outcome
		}
	}
}

// takeDraining returns an idle connection to a proxy that was told to end, nil where there is none: clients use those that
// they have for as long as they stay open.
func (g *loadGenerator) takeDraining(proxy int, mayReuse bool) *clientConn {
	if !mayReuse || !g.draining[proxy].Load() {
		return nil
	}
	return g.takeUsable(proxy)
}

// takeConn returns a connection to a proxy, an idle one where it may and there is one.
func (g *loadGenerator) takeConn(proxy int, mayReuse bool) (*clientConn, error) {
	if mayReuse {
		if conn := g.takeUsable(proxy); conn != nil {
			return conn, nil
		}
	}
	return g.dial(proxy)
}

// takeUsable returns an idle connection to a proxy that has not ended, nil where there is none.
func (g *loadGenerator) takeUsable(proxy int) *clientConn {
	for {
		conn := g.takeIdle(proxy)
		if conn == nil {
			return nil
		}
		err := conn.SetReadDeadline(time.Now().Add(idleProbeTimeout))
		if err == nil {
			_, err = conn.reader.Peek(1)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			conn.reused = true
			return conn
		}
		if err == nil {
			g.log.Record(Event{Kind: ReplyReceived, RequestID: conn.lastRequestID, Proxy: proxy, Note: noteUnexpectedReply})
		}
		_ = conn.Close() // it has ended or is out of step
	}
}

// takeIdle removes and returns an idle connection, nil where there is none: held connections are used in turn, others the latest
// first.
func (g *loadGenerator) takeIdle(proxy int) *clientConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle := g.idle[proxy]
	if len(idle) == 0 {
		return nil
	}
	if g.plan.Scenario.Load.Connections > 0 {
		g.idle[proxy] = idle[1:]
		return idle[0]
	}
	g.idle[proxy] = idle[:len(idle)-1]
	return idle[len(idle)-1]
}

var errConnClosed = errors.New("connection closed before the answer")

// exchange sends a request on a connection and returns its outcome. The error is errConnClosed where the connection ended before
// the answer began.
func (g *loadGenerator) exchange(conn *clientConn, request Request) (Outcome, error) {
	route := g.plan.Scenario.Routes[request.Route]
	timeout := millis(route.TimeoutMS) + clientGrace
	if request.LeavesAfter > 0 {
		timeout = request.LeavesAfter
	}
	conn.lastRequestID = request.ID
	err := conn.SetDeadline(time.Now().Add(timeout))
	g.cluster.recordProxy(request.ID, conn.proxy)
	content := route.command(request)
	g.cluster.sent.record(request.ID, content)
	command := content.encode(request.ID)
	if request.Dripped && err == nil { // its time counts from its last byte
		err = conn.drip(command[:len(command)-1])
		command = command[len(command)-1:]
	}
	g.log.Record(Event{Kind: RequestSent, RequestID: request.ID, Proxy: conn.proxy})
	if err == nil {
		_, err = conn.Write(command)
	}
	if err == nil {
		_, err = conn.reader.Peek(1)
	}
	if err != nil {
		return g.recordNoReply(conn, request, err)
	}
	err = conn.SetDeadline(time.Now().Add(longReplyTimeout))
	var head, body string
	if err == nil {
		head, body, err = ReadElement(conn.reader)
	}
	if err != nil {
		_ = conn.Close() // it has failed
		g.log.Record(Event{Kind: ConnectionClosed, RequestID: request.ID, Proxy: conn.proxy, Note: noteDuringReply})
		return Unanswered, nil
	}
	return g.recordReply(conn, request, head, body), nil
}

// drip writes byte by byte.
func (c *clientConn) drip(text []byte) error {
	for i := range text {
		if _, err := c.Write(text[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}

// Names of commands.
const (
	commandRead  = "KV.GET"
	commandWrite = "KV.SET"
)

// command returns the command of a request.
func (r Route) command(request Request) clientCommand {
	command := clientCommand{name: commandRead, key: request.Key, facts: r.requestFacts()}
	if r.Write {
		command.name, command.value = commandWrite, writtenValue
		if r.DedupMS > 0 {
			command.facts += ",k=w" + request.ID
		}
	}
	return command
}

// encode returns the command as a client writes it.
func (c *clientCommand) encode(id string) []byte {
	if c.name == commandWrite {
		return encodeCommand(c.name, c.key, id, c.facts, c.value)
	}
	return encodeCommand(c.name, c.key, id, c.facts)
}

// recordNoReply closes a connection on which no answer began, for an error, and records why.
func (g *loadGenerator) recordNoReply(conn *clientConn, request Request, err error) (Outcome, error) {
	_ = conn.Close() // it has failed, or its client leaves
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		note := ""
		if conn.reused {
			note = noteReused
		}
		g.log.Record(Event{Kind: ConnectionClosed, RequestID: request.ID, Proxy: conn.proxy, Note: note})
		return Unanswered, errConnClosed
	}
	if request.LeavesAfter > 0 {
		g.log.Record(Event{Kind: ClientLeft, RequestID: request.ID, Proxy: conn.proxy})
		return Abandoned, nil
	}
	return Unanswered, nil
}

// recordReply records an answer and puts the connection among the idle ones.
func (g *loadGenerator) recordReply(conn *clientConn, request Request, head, body string) Outcome {
	event, outcome := Event{Kind: ReplyReceived, RequestID: request.ID, Proxy: conn.proxy}, Failed
	switch {
	case head[0] == '$':
		outcome = Completed
		if _, event.MadeFor = parseValue(body); head == nullBulk {
			event.Node = noSuchKey
		}
	case head == "-BUSY" || strings.HasPrefix(head, "-BUSY "):
		outcome = Rejected
	}
	event.Note = string(outcome)
	g.log.Record(event)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle[conn.proxy] = append(g.idle[conn.proxy], conn)
	return outcome
}
