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
	Request Request
	Outcome Outcome
	Latency time.Duration
	Sent    time.Duration
}

// clients ask what the plan settles, when it does, whatever became of what was asked before.
type clients struct {
	plan  *Plan
	log   *Log
	world *World
	up    []*atomic.Bool // proxies that clients are sent to
	addrs []string

	mu      sync.Mutex
	start   time.Time // of the day
	idle    [][]*line
	results []Result
	all     sync.WaitGroup
}

// line is a client's connection.
type line struct {
	conn  net.Conn
	in    *bufio.Reader
	asked string // the request on it last
}

func newLine(addr string) (*line, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &line{conn: conn, in: bufio.NewReaderSize(conn, 2<<10)}, nil
}

// facts are what a client says of a request, but for its mark.
func (r Route) facts() string { return fmt.Sprintf("c=%s,t=all,d=%d", r.Name, int(r.Overall)) }

// lateBy is when the load itself ran late.
const lateBy = 5 * time.Millisecond

func (c *clients) run(ctx context.Context, start time.Time) {
	c.start = start
	for _, r := range c.plan.Requests {
		wait := time.NewTimer(time.Until(start.Add(r.At)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		c.all.Add(1)
		go func() {
			defer c.all.Done()
			c.one(r, start.Add(r.At))
		}()
	}
}

// hold opens the connections that clients hold all day.
func (c *clients) hold() error {
	for n, addr := range c.addrs {
		for range c.plan.Day.Load.Connections {
			l, err := newLine(addr)
			if err != nil {
				return err
			}
			l.conn.SetDeadline(time.Now().Add(2 * time.Second))
			l.conn.Write(Command("PING"))
			if _, _, err := Answer(l.in); err != nil {
				return fmt.Errorf("a client is not let in: %w", err)
			}
			c.idle[n] = append(c.idle[n], l)
		}
	}
	return nil
}

// close ends the connections once all have their outcome.
func (c *clients) close() {
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, l := range idle {
			l.conn.Close()
		}
	}
	c.idle = nil
}

func (c *clients) one(r Request, due time.Time) {
	sent := time.Since(due)
	if sent > lateBy {
		c.log.See(Seen{What: Late, ID: r.ID, Proxy: -1, Figure: float64(sent) / 1e6})
	}
	outcome := c.ask(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, Result{r, outcome, time.Since(due), sent})
}

// proxy is the one a request goes to: its own, or the next that is up.
func (c *clients) proxy(r Request) int {
	for i := range c.up {
		if n := (r.Proxy + i) % len(c.up); c.up[n].Load() {
			return n
		}
	}
	return r.Proxy
}

func (c *clients) ask(r Request) Outcome {
	for again := 0; ; again++ {
		n := c.proxy(r)
		l, reused, err := c.line(n, again == 0)
		if err != nil {
			if again < 2 { // the front sends it elsewhere
				time.Sleep(20 * time.Millisecond)
				continue
			}
			return Refused
		}
		outcome, err := c.on(l, n, r, reused)
		if err == nil || !reused {
			return outcome
		}
		// its connection was closed when the request crossed that: it asks once more on a new one
	}
}

func (c *clients) line(n int, old bool) (*line, bool, error) {
	for old {
		c.mu.Lock()
		k := len(c.idle[n])
		if k == 0 {
			c.mu.Unlock()
			break
		}
		l := c.idle[n][k-1]
		if c.plan.Day.Load.Connections > 0 { // in turn, else the last one used
			l = c.idle[n][0]
			c.idle[n] = c.idle[n][1:]
		} else {
			c.idle[n] = c.idle[n][:k-1]
		}
		c.mu.Unlock()
		l.conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
		_, err := l.in.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return l, true, nil
		}
		if err == nil { // nobody asked for it
			c.log.See(Seen{What: Answered, ID: l.asked, Proxy: n, Note: "again"})
		}
		l.conn.Close()
	}
	l, err := newLine(c.addrs[n])
	return l, false, err
}

var errClosed = errors.New("closed")

func (c *clients) on(l *line, n int, r Request, reused bool) (Outcome, error) {
	route := c.plan.Day.Routes[r.Route]
	words := []string{"KV.GET", r.Key, r.ID, route.facts()}
	if route.Write {
		words = []string{"KV.SET", r.Key, r.ID, route.facts(), "vvvvvvvv"}
		if route.Dedup > 0 {
			words[3] += ",k=w" + r.ID
		}
	}
	l.asked = r.ID
	patience := millis(route.Overall) + 500*time.Millisecond
	if r.Leaves > 0 {
		patience = r.Leaves
	}
	l.conn.SetDeadline(time.Now().Add(patience))
	c.world.asks(r.ID, n)
	c.log.See(Seen{What: Asked, ID: r.ID, Proxy: n})
	_, err := l.conn.Write(Command(words...))
	if err == nil {
		_, err = l.in.Peek(1)
	}
	if err != nil {
		l.conn.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if r.Leaves > 0 {
				c.log.See(Seen{What: Went, ID: r.ID, Proxy: n})
				return Left, nil
			}
			return Lost, nil
		}
		note := ""
		if reused {
			note = "reused"
		}
		c.log.See(Seen{What: Closed, ID: r.ID, Proxy: n, Note: note})
		return Lost, errClosed
	}
	l.conn.SetDeadline(time.Now().Add(10 * time.Second)) // for the rest of a long one
	head, body, err := Answer(l.in)
	if err != nil {
		l.conn.Close()
		c.log.See(Seen{What: Closed, ID: r.ID, Proxy: n, Note: "amid the answer"})
		return Lost, nil
	}
	seen, outcome := Seen{What: Answered, ID: r.ID, Proxy: n}, Errored
	switch {
	case head[0] == '$':
		outcome = Completed
		if _, seen.Made = MadeFor(body); head == "$-1" {
			seen.Node = none
		}
	case head == "-BUSY" || strings.HasPrefix(head, "-BUSY "):
		outcome = Shed
	}
	seen.Note = string(outcome)
	c.log.See(seen)
	c.mu.Lock()
	c.idle[n] = append(c.idle[n], l)
	c.mu.Unlock()
	return outcome, nil
}

// spoilt is what bad clients send.
var spoilt = []string{
	"GET / HTTP/1.1\r\n\r\n", "*4\r\n$6\r\nKV.GET\r\n$-5\r\n", "*1\r\n$99999999\r\n", "\x00\x01\x02\r\n",
	"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$7\r\nc=x,d=5\r\n$999999999\r\n", "*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$0\r\n\r\n$7\r\nc=x,d=5\r\n",
	"*4\r\n$6\r\nKV.",
}

// bad is one such client; it tells whether it was answered with an error or closed on within three seconds.
func bad(addr string, i int) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return true
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(conn, spoilt[i%len(spoilt)])
	b, err := bufio.NewReader(conn).ReadByte()
	return err == nil && b == '-' || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// slow is a client that asks for values, one behind the other, and hardly reads them.
func slow(ctx context.Context, addr, id string, route Route) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	context.AfterFunc(ctx, func() { conn.Close() })
	for i := range 64 {
		conn.Write(Command("KV.GET", key(uint64(i)), fmt.Sprint(id, "-", i), route.facts()))
	}
	for b := make([]byte, 16); ; time.Sleep(100 * time.Millisecond) {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}
