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

// Outcome is the result of a request from the view of its client.
type Outcome string

// Outcomes of requests.
const (
	Completed         Outcome = "completed" // successful reply, in time or late
	Rejected          Outcome = "shed"      // reply that load shedding rejected the request
	Failed            Outcome = "errored"   // reply with another error
	Unanswered        Outcome = "lost"      // no reply
	Abandoned         Outcome = "left"      // the client left before the reply
	ConnectionRefused Outcome = "refused"   // no proxy accepted a connection
)

// Result is the outcome of one request. Latency and SendDelay count from the scheduled time of the request.
type Result struct {
	Request   Request
	Outcome   Outcome
	Latency   time.Duration
	SendDelay time.Duration
}

const (
	dialTimeout         = time.Second
	pingTimeout         = 2 * time.Second
	lateSendThreshold   = 5 * time.Millisecond   // a longer delay shows that the load generator itself was late
	clientGrace         = 500 * time.Millisecond // after the overall timeout, before a client gives up
	longReplyTimeout    = 10 * time.Second       // for the rest of a reply that has begun
	idleProbeTimeout    = 100 * time.Microsecond // for detecting a closed idle connection or an unexpected reply
	dialAttempts        = 3
	dialRetryDelay      = 20 * time.Millisecond
	clientBufferSize    = 2 << 10
	writtenValue        = "vvvvvvvv"
	noteDuringReply     = "during the reply" // Note of a ConnectionClosed event: a reply had begun
	noteUnexpectedReply = "unexpected"       // Note of a ReplyReceived event: the connection was idle
)

// loadGenerator sends the requests of the plan at their scheduled times, whether earlier ones have ended or not (open loop).
type loadGenerator struct {
	plan      *Plan
	log       *EventLog
	cluster   *cluster
	available []*atomic.Bool // by proxy: clients open connections to it
	draining  []*atomic.Bool // by proxy: it was signaled to stop, and clients keep using their open connections
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

// addProxy adds the next proxy. It is not available at first.
func (g *loadGenerator) addProxy(address string) {
	g.available, g.draining = append(g.available, &atomic.Bool{}), append(g.draining, &atomic.Bool{})
	g.addresses = append(g.addresses, address)
}

// clientConn is the connection of a client to a proxy.
type clientConn struct {
	net.Conn
	reader        *bufio.Reader
	proxy         int
	reused        bool   // it has served an earlier request
	lastRequestID string // ID of the latest request on the connection
}

func (g *loadGenerator) dial(proxy int) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", g.addresses[proxy], dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReaderSize(conn, clientBufferSize), proxy: proxy}, nil
}

// requestFacts returns the facts that a client sends with a request of the route, without the idempotency key.
func (r Route) requestFacts() string { return fmt.Sprintf("c=%s,t=all,d=%d", r.Name, int(r.TimeoutMS)) }

// run sends the requests at their scheduled times. It returns when all are sent or the context ends.
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

// openHeldConns opens the connections that clients hold throughout the scenario, and pings the proxy on each.
func (g *loadGenerator) openHeldConns() error {
	for proxy := range g.addresses {
		for range g.plan.Scenario.Load.Connections {
			conn, err := g.dial(proxy)
			if err != nil {
				return err
			}
			if err := conn.ping(); err != nil {
				return fmt.Errorf("proxy did not admit a client connection: %w", errors.Join(err, conn.Close()))
			}
			g.idle[proxy] = append(g.idle[proxy], conn)
		}
	}
	return nil
}

// ping sends a PING and reads the reply. An error means that the proxy has not admitted the connection.
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

// close waits for the requests in flight and closes the idle connections.
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

// pickProxy returns the index of the first available proxy, starting at the request's own.
func (g *loadGenerator) pickProxy(request Request) int {
	for i := range g.available {
		if proxy := (request.Proxy + i) % len(g.available); g.available[proxy].Load() {
			return proxy
		}
	}
	return request.Proxy
}

// perform sends a request and returns its outcome. It retries on a new connection if the proxy closed a reused one before it
// replied, and picks a proxy again if no connection was accepted.
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

// takeDraining returns an idle connection to a draining proxy, or nil if there is none. Clients use their connections to a
// draining proxy for as long as these stay open.
func (g *loadGenerator) takeDraining(proxy int, mayReuse bool) *clientConn {
	if !mayReuse || !g.draining[proxy].Load() {
		return nil
	}
	return g.takeUsable(proxy)
}

// takeConn returns an idle connection to a proxy if mayReuse is set and there is one, else a new one.
func (g *loadGenerator) takeConn(proxy int, mayReuse bool) (*clientConn, error) {
	if mayReuse {
		if conn := g.takeUsable(proxy); conn != nil {
			return conn, nil
		}
	}
	return g.dial(proxy)
}

// takeUsable removes and returns an idle connection to a proxy that is still open, or nil if there is none. It closes
// connections that have ended or on which an unexpected reply arrived.
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
		_ = conn.Close() // it has ended, or a reply matches no request
	}
}

// takeIdle removes and returns an idle connection, or nil if there is none. Held connections are used in turn, others last
// in, first out.
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

var errConnClosed = errors.New("connection closed before the reply")

// exchange sends a request on a connection and returns its outcome. The error is errConnClosed if the connection ended
// before the reply began.
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
	if request.Dripped && err == nil { // the timeout of the proxy starts at the last byte
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
	firstByteAt := time.Now()
	err = conn.SetDeadline(firstByteAt.Add(longReplyTimeout))
	var head, body string
	if err == nil {
		head, body, err = ReadElement(conn.reader)
	}
	if err != nil {
		_ = conn.Close() // the connection has failed
		g.log.Record(Event{
			Kind: ConnectionClosed, RequestID: request.ID, Proxy: conn.proxy, Note: noteDuringReply,
			Figure: float64(time.Since(firstByteAt)) / 1e6,
		})
		return Unanswered, nil
	}
	sinceFirstByte := time.Duration(0)
	if len(body) > maxTimedWhole {
		sinceFirstByte = time.Since(firstByteAt)
	}
	return g.recordReply(conn, request, head, body, sinceFirstByte), nil
}

// drip writes text one byte at a time.
func (c *clientConn) drip(text []byte) error {
	for i := range text {
		if _, err := c.Write(text[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}

// Names of the commands that clients send.
const (
	commandRead  = "KV.GET"
	commandWrite = "KV.SET"
)

// command returns the command of a request of the route.
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

// encode returns the command in RESP2 as a client writes it.
func (c *clientCommand) encode(id string) []byte {
	if c.name == commandWrite {
		return encodeCommand(c.name, c.key, id, c.facts, c.value)
	}
	return encodeCommand(c.name, c.key, id, c.facts)
}

// recordNoReply closes a connection on which an error occurred before a reply began. It records and returns the outcome. The
// error is errConnClosed unless the client's timeout expired.
func (g *loadGenerator) recordNoReply(conn *clientConn, request Request, err error) (Outcome, error) {
	_ = conn.Close() // the connection has failed, or its client leaves
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

// maxTimedWhole is the length in bytes of the longest value whose last byte is timed. Of longer values the first byte is.
const maxTimedWhole = 64 << 10

// recordReply records a reply, returns the connection to the idle ones, and returns the outcome.
func (g *loadGenerator) recordReply(conn *clientConn, request Request, head, body string, sinceFirstByte time.Duration) Outcome {
	event, outcome := Event{Kind: ReplyReceived, RequestID: request.ID, Proxy: conn.proxy, Figure: float64(sinceFirstByte) / 1e6}, Failed
	switch {
	case head[0] == '$':
		outcome = Completed
		if event.Node, event.MadeFor = parseValue(body); head == nullBulk {
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
