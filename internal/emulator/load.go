package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Outcome is how a request came out for its client.
type Outcome string

const (
	Completed Outcome = "completed" // in time or late, by Latency
	Shed      Outcome = "shed"
	Errored   Outcome = "errored"
	Lost      Outcome = "lost" // no answer
	Left      Outcome = "left"
	Refused   Outcome = "refused" // nobody let the client in
)

// Result is one request's. Latency counts from the time that was settled for it, Sent is how much later it was sent.
type Result struct {
	Request   Request
	Outcome   Outcome
	Latency   time.Duration
	SendDelay time.Duration
}

// clients ask what the plan settles, when it does, whatever became of what was asked before.
type loadGenerator struct {
	plan      *Plan
	log       *EventLog
	world     *cluster
	available []*atomic.Bool // proxies that clients are sent to
	addresses []string

	mu       sync.Mutex
	start    time.Time // of the day
	idle     [][]*clientConn
	results  []Result
	inFlight sync.WaitGroup
}

// line is a client's connection.
type clientConn struct {
	conn          net.Conn
	reader        *bufio.Reader
	lastRequestID string // the request on it last
}

func dialClient(addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReaderSize(conn, 2<<10)}, nil
}

// facts are what a client says of a request, but for its mark.
func (r Route) requestFacts() string { return fmt.Sprintf("c=%s,t=all,d=%d", r.Name, int(r.Overall)) }

// lateBy is when the load itself ran late.
const lateSendThreshold = 5 * time.Millisecond

func (c *loadGenerator) run(ctx context.Context, start time.Time) {
	c.start = start
	for _, r := range c.plan.Requests {
		wait := time.NewTimer(time.Until(start.Add(r.At)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		c.inFlight.Add(1)
		go func() {
			defer c.inFlight.Done()
			c.sendOne(r, start.Add(r.At))
		}()
	}
}

// hold opens the connections that clients hold all day.
func (c *loadGenerator) openHeldConns() error {
	for proxy, addr := range c.addresses {
		for range c.plan.Day.Load.Connections {
			conn, err := dialClient(addr)
			if err != nil {
				return err
			}
			conn.conn.SetDeadline(time.Now().Add(2 * time.Second))
			conn.conn.Write(EncodeCommand("PING"))
			if _, _, err := Answer(conn.reader); err != nil {
				return fmt.Errorf("a client is not let in: %w", err)
			}
			c.idle[proxy] = append(c.idle[proxy], conn)
		}
	}
	return nil
}

// close ends the connections once all have their outcome.
func (c *loadGenerator) close() {
	c.inFlight.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, l := range idle {
			l.conn.Close()
		}
	}
	c.idle = nil
}

func (c *loadGenerator) sendOne(r Request, scheduledAt time.Time) {
	sendDelay := time.Since(scheduledAt)
	if sendDelay > lateSendThreshold {
		c.log.Record(Seen{What: Late, ID: r.ID, Proxy: -1, Figure: float64(sendDelay) / 1e6})
	}
	outcome := c.perform(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, Result{r, outcome, time.Since(scheduledAt), sendDelay})
}

// proxy is the one a request goes to: its own, or the next that is up.
func (c *loadGenerator) pickProxy(r Request) int {
	for i := range c.available {
		if proxy := (r.Proxy + i) % len(c.available); c.available[proxy].Load() {
			return proxy
		}
	}
	return r.Proxy
}

func (c *loadGenerator) perform(r Request) Outcome {
	for attempt := 0; ; attempt++ {
		proxy := c.pickProxy(r)
		conn, reused, err := c.takeConn(proxy, attempt == 0)
		if err != nil {
			if attempt < 2 { // the front sends it elsewhere
				time.Sleep(20 * time.Millisecond)
				continue
			}
			return Refused
		}
		outcome, err := c.exchange(conn, proxy, r, reused)
		if err == nil || !reused {
			return outcome
		}
		// its connection was closed when the request crossed that: it asks once more on a new one
	}
}

func (c *loadGenerator) takeConn(proxy int, allowIdle bool) (*clientConn, bool, error) {
	for allowIdle {
		c.mu.Lock()
		idleCount := len(c.idle[proxy])
		if idleCount == 0 {
			c.mu.Unlock()
			break
		}
		conn := c.idle[proxy][idleCount-1]
		if c.plan.Day.Load.Connections > 0 { // in turn, else the last one used
			conn = c.idle[proxy][0]
			c.idle[proxy] = c.idle[proxy][1:]
		} else {
			c.idle[proxy] = c.idle[proxy][:idleCount-1]
		}
		c.mu.Unlock()
		conn.conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
		_, err := conn.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, true, nil
		}
		if err == nil { // nobody asked for it
			c.log.Record(Seen{What: Answered, ID: conn.lastRequestID, Proxy: proxy, Note: "again"})
		}
		conn.conn.Close()
	}
	conn, err := dialClient(c.addresses[proxy])
	return conn, false, err
}

var errClosed = errors.New("closed")

func (c *loadGenerator) exchange(conn *clientConn, proxy int, r Request, reused bool) (Outcome, error) {
	route := c.plan.Day.Routes[r.Route]
	args := []string{"KV.GET", r.Key, r.ID, route.requestFacts()}
	if route.Write {
		args = []string{"KV.SET", r.Key, r.ID, route.requestFacts(), "vvvvvvvv"}
		if route.Dedup > 0 {
			args[3] += ",k=w" + r.ID
		}
	}
	conn.lastRequestID = r.ID
	timeout := millis(route.Overall) + 500*time.Millisecond
	if r.LeavesAfter > 0 {
		timeout = r.LeavesAfter
	}
	conn.conn.SetDeadline(time.Now().Add(timeout))
	c.world.recordProxy(r.ID, proxy)
	c.log.Record(Seen{What: Asked, ID: r.ID, Proxy: proxy})
	_, err := conn.conn.Write(EncodeCommand(args...))
	if err == nil {
		_, err = conn.reader.Peek(1)
	}
	if err != nil {
		conn.conn.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if r.LeavesAfter > 0 {
				c.log.Record(Seen{What: Went, ID: r.ID, Proxy: proxy})
				return Left, nil
			}
			return Lost, nil
		}
		note := ""
		if reused {
			note = "reused"
		}
		c.log.Record(Seen{What: Closed, ID: r.ID, Proxy: proxy, Note: note})
		return Lost, errClosed
	}
	conn.conn.SetDeadline(time.Now().Add(10 * time.Second)) // for the rest of a long one
	head, body, err := Answer(conn.reader)
	if err != nil {
		conn.conn.Close()
		c.log.Record(Seen{What: Closed, ID: r.ID, Proxy: proxy, Note: "amid the answer"})
		return Lost, nil
	}
	event, outcome := Seen{What: Answered, ID: r.ID, Proxy: proxy}, Errored
	switch {
	case head[0] == '$':
		outcome = Completed
		if _, event.Made = ParseValue(body); head == "$-1" {
			event.Node = noSuchKey
		}
	case head == "-BUSY" || strings.HasPrefix(head, "-BUSY "):
		outcome = Shed
	}
	event.Note = string(outcome)
	c.log.Record(event)
	c.mu.Lock()
	c.idle[proxy] = append(c.idle[proxy], conn)
	c.mu.Unlock()
	return outcome, nil
}

// spoilt is what bad clients send.
var malformedRequests = []string{
	"GET / HTTP/1.1\r\n\r\n", "*4\r\n$6\r\nKV.GET\r\n$-5\r\n", "*1\r\n$99999999\r\n", "\x00\x01\x02\r\n",
	"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$7\r\nc=x,d=5\r\n$999999999\r\n", "*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$0\r\n\r\n$7\r\nc=x,d=5\r\n",
	"*4\r\n$6\r\nKV.",
}

// bad is one such client; it tells whether it was answered with an error or closed on within three seconds.
func sendMalformed(addr string, i int) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return true
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(conn, malformedRequests[i%len(malformedRequests)])
	b, err := bufio.NewReader(conn).ReadByte()
	return err == nil && b == '-' || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// slow is a client that asks for values, one behind the other, and hardly reads them.
func readSlowly(ctx context.Context, addr, id string, route Route) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	context.AfterFunc(ctx, func() { conn.Close() })
	for i := range 64 {
		conn.Write(EncodeCommand("KV.GET", keyName(uint64(i)), fmt.Sprint(id, "-", i), route.requestFacts()))
	}
	for b := make([]byte, 16); ; time.Sleep(100 * time.Millisecond) {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}
