package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// What is still owed, or must not be done any more, in the instant in which something ends. The order of events is
// forced: connections to nodes come up when the test lets them, and nodes answer when it says so.

// holding is a dialer whose connections come up when let.
type blockingDialer struct {
	net.Dialer
	mu      sync.Mutex
	blocked map[string]chan struct{} // by address: closed when connections there may come up
}

func (h *blockingDialer) block(addr string) (release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := make(chan struct{})
	h.blocked[addr] = until
	return sync.OnceFunc(func() {
		h.mu.Lock()
		delete(h.blocked, addr)
		h.mu.Unlock()
		close(until)
	})
}

// DialContext goes on after its time as a connection does that comes up just then.
func (h *blockingDialer) DialContext(_ context.Context, network, addr string) (net.Conn, error) {
	h.mu.Lock()
	until := h.blocked[addr]
	h.mu.Unlock()
	if until != nil {
		<-until
	}
	c, err := h.Dialer.Dial(network, addr)
	if err == nil {
		c.(*net.TCPConn).SetWriteBuffer(16 << 10) // so that who reads nothing has a long command half written
	}
	return c, err
}

// command is what a node was asked.
type receivedCommand struct {
	id, facts string
	conn      net.Conn
}

// standIn is a node that passes on what it is asked and answers nothing by itself.
type fakeNode struct {
	addr     string
	commands chan receivedCommand
}

func listen(t *testing.T, serve func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

func newCache(t *testing.T) *fakeNode {
	n := &fakeNode{commands: make(chan receivedCommand, 1000)}
	n.addr = listen(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReaderSize(c, 8<<10)
		for {
			if _, err := in.Peek(in.Buffered() + 1); err != nil {
				return
			}
			b, _ := in.Peek(in.Buffered())
			cmd, took, err := wire.ParseCommand(b)
			if err != nil {
				continue
			}
			n.commands <- receivedCommand{string(cmd.ID), string(cmd.Facts), c}
			if cmd.Value >= 0 {
				took += cmd.Value + 2
			}
			in.Discard(took)
		}
	})
	return n
}

func newOrigin(t *testing.T) *fakeNode {
	n := &fakeNode{commands: make(chan receivedCommand, 1000)}
	n.addr = listen(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			n.commands <- receivedCommand{r.Header.Get("X-Correlation-Id"), r.Header.Get("X-Facts"), c}
		}
	})
	return n
}

// next is the next command that the node was asked.
func (n *fakeNode) next(t *testing.T) receivedCommand {
	t.Helper()
	select {
	case c := <-n.commands:
		return c
	case <-time.After(5 * time.Second):
		t.Fatal("the node is asked nothing")
	}
	return receivedCommand{}
}

func (c receivedCommand) reply(value string) {
	fmt.Fprintf(c.conn, "*1\r\n$%d\r\n%s\r\n", len(value), value)
}

// rig is a proxy without discovery, on real connections.
type testProxy struct {
	t        *testing.T
	listener *Door
	router   *Router
	dialer   *blockingDialer
	ln       *net.TCPListener
}

func newTestProxy(t *testing.T, sockets int, change func(*balancer.Terms), nodes ...*fakeNode) *testProxy {
	t.Helper()
	return newSteppedTestProxy(t, &steppedListener{}, sockets, change, nodes...)
}

func newSteppedTestProxy(t *testing.T, step *steppedListener, sockets int, change func(*balancer.Terms), nodes ...*fakeNode) *testProxy {
	t.Helper()
	config := &settings.Book{Origin: "origin", Routes: map[string]int{"read": 0, "put": 1}, Terms: balancer.Terms{
		Proxies: 1, MaxTries: 3,
		Tick: 50, Aside: true, Fall: 20000, FallMultiple: 3, Cold: 1, ColdFrom: 0.3,
		Routes: []balancer.Route{{Objective: 300000, Overall: 600000, Value: 1}, {Objective: 300000, Overall: 600000, Value: 1}},
	}}
	change(&config.Terms)
	for _, r := range config.Terms.Routes {
		config.Longest = max(config.Longest, r.Overall)
	}
	r := &testProxy{
		t: t, router: NewRouter(config, 1, NewClock(), sockets, &Counters{}, zap.NewNop()),
		dialer: &blockingDialer{blocked: map[string]chan struct{}{}},
	}
	r.router.dialer = r.dialer
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.ln = ln.(*net.TCPListener)
	step.TCPListener = r.ln
	r.listener = NewDoor(step, r.router, 64, r.router.counters, zap.NewNop())
	r.listener.Allow(100, 100)
	r.listener.Open()
	var list []wire.Target
	for i, n := range nodes {
		row := wire.Target{Name: fmt.Sprint("c", i), Address: n.addr, Kind: "std", Ready: true, Weight: 1}
		if i == len(nodes)-1 {
			row.Name, row.Kind = "o1", "origin"
		}
		list = append(list, row)
	}
	r.router.mailbox.post(func() { r.router.updateEndpoints(endpointUpdate{whole: true, initial: true, targets: list}) })
	go r.router.Run()
	go r.listener.Run()
	t.Cleanup(func() { ln.Close() })
	return r
}

func (r *testProxy) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.ln.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// read asks for a key.
func getCommand(key, id string, wait int) string {
	facts := fmt.Sprint("c=read,t=x,d=", wait)
	return string(wire.AppendCommand(nil, []byte("KV.GET"), []byte(key), []byte(id), []byte(facts), -1))
}

// settles waits until something holds, which it does soon if it ever does.
func (r *testProxy) settles(what string, holds func() bool) {
	r.t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatal(what)
}

// same leaves the terms as they are.
func defaultSettings(*balancer.Terms) {}

// A client leaves while the connection that its request waits for comes up: nothing of it is sent on, whether or not
// tries may be called off, and the connection serves the next.
func TestClientGoneWhileDialing(t *testing.T) {
	for _, may := range []bool{false, true} {
		cache, origin := newCache(t), newOrigin(t)
		r := newTestProxy(t, 10, func(config *balancer.Terms) { config.MayCancel = may }, cache, origin)
		release := r.dialer.block(cache.addr)
		c := r.dial()
		io.WriteString(c, getCommand("k", "left", 60000))
		r.settles("no connection is made", func() bool { return r.router.counters.Dials.Load() == 1 })
		c.Close()
		r.settles("nobody noticed that the client left", func() bool { return r.router.counters.Left.Load() == 1 })
		release()
		io.WriteString(r.dial(), getCommand("k", "stays", 60000))
		if got := cache.next(t); got.id != "stays" {
			t.Errorf("%s was sent on after its client had gone", got.id)
		}
	}
}

// A copy of a late read is answered by the origin while the connection for the first try still comes up: the first is
// not begun after the final answer.
func TestHedgeAnsweredWhileDialing(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	r := newTestProxy(t, 10, func(config *balancer.Terms) {
		config.Parallel = true
		config.Routes[1].Objective, config.Routes[1].Overall = 1000, 2000 // by which an answer is late after 0.1 s
	}, cache, origin)
	release := r.dialer.block(cache.addr)
	c := r.dial()
	io.WriteString(c, getCommand("k", "copied", 60000))
	copied := origin.next(t)
	io.WriteString(copied.conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue")
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "$5\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	release()
	io.WriteString(c, getCommand("k", "next", 60000))
	if got := cache.next(t); got.id != "next" {
		t.Errorf("%s was sent on after its final answer", got.id)
	}
}

// A request waits for a socket when its client leaves: the socket, once free, carries none of it.
func TestClientGoneWhileQueuedForSocket(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	r := newTestProxy(t, 1, defaultSettings, cache, origin)
	first, c := r.dial(), r.dial()
	io.WriteString(first, getCommand("k", "first", 60000))
	busy := cache.next(t)
	io.WriteString(c, getCommand("k", "left", 60000))
	r.settles("the second is not tried", func() bool { return r.router.counters.Tries.Load() == 2 })
	c.Close()
	r.settles("nobody noticed that the client left", func() bool { return r.router.counters.Left.Load() == 1 })
	busy.reply("value")
	io.WriteString(r.dial(), getCommand("k", "stays", 60000))
	if got := cache.next(t); got.id != "stays" {
		t.Errorf("%s was sent on after its client had gone", got.id)
	}
}

// Caches and the origin are told how long the proxy will wait, not what the client said when it asked.
func TestUpstreamIsToldRemainingWait(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	r := newTestProxy(t, 10, defaultSettings, cache, origin)
	io.WriteString(r.dial(), getCommand("k", "missed", 5000))
	at := cache.next(t)
	const late = 300
	time.Sleep(late * time.Millisecond)
	io.WriteString(at.conn, "*1\r\n$-1\r\n")
	at = origin.next(t)
	f, err := wire.ParseFacts([]byte(at.facts))
	if err != nil || f.Wait > 5000-late || f.Wait < 1000 || string(f.Tenant) != "x" || at.id != "missed" {
		t.Errorf("%q of %s: %v", at.facts, at.id, err)
	}
}

// A client leaves while its connection's goroutine does not read: it has as many commands outstanding as it may and a
// full buffer, it was told to end and is owed answers, or it is served a value that has stopped half way. All that it is
// owed is given up at once, what was not shed before.
func TestClientGoneWhileConnIsNotRead(t *testing.T) {
	var crowd string
	for i := range 300 {
		crowd += getCommand("k", fmt.Sprint("id", i), 60000)
	}
	for name, begin := range map[string]func(r *testProxy, c net.Conn, cache *fakeNode) int64{
		"outstanding": func(r *testProxy, c net.Conn, _ *fakeNode) int64 {
			r.dialer.block(r.router.hosts[0].endpoint.Address)
			go io.WriteString(c, crowd)
			return maxPending
		},
		"told to end": func(r *testProxy, c net.Conn, _ *fakeNode) int64 {
			r.dialer.block(r.router.hosts[0].endpoint.Address)
			io.WriteString(c, getCommand("k", "owed", 60000))
			r.settles("no connection is made", func() bool { return r.router.counters.Dials.Load() == 1 })
			r.listener.requestPhaseAll(phaseStopReading)
			io.WriteString(c, getCommand("k", "unread", 60000))
			return 1
		},
		"value stopped": func(r *testProxy, c net.Conn, cache *fakeNode) int64 {
			io.WriteString(c, getCommand("k", "long", 60000))
			at := cache.next(r.t)
			fmt.Fprintf(at.conn, "*1\r\n$%d\r\n%s", 4*wire.MaxValue, strings.Repeat("v", wire.MaxValue))
			if _, err := io.CopyN(io.Discard, c, wire.MaxValue/2); err != nil {
				r.t.Fatal(err)
			}
			r.dialer.block(r.router.hosts[0].endpoint.Address)
			io.WriteString(c, getCommand("k", "behind", 60000)+"*")
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			r := newTestProxy(t, 100, defaultSettings, cache, origin)
			r.settles("no list", func() bool { return len(r.router.Targets()) == 2 })
			c := r.dial()
			owed := begin(r, c, cache)
			r.settles("not taken", func() bool { return r.router.counters.Exchanges.Load() >= owed })
			c.Close()
			r.settles("not all that was taken was given up", func() bool {
				return r.router.counters.Left.Load()+r.router.counters.Shed.Load()+r.router.counters.Completed.Load() == r.router.counters.Exchanges.Load() &&
					r.router.counters.ClientsOpen.Load() == 0
			})
		})
	}
}

// A connection is told to close in the instant between its last answer and its rest: it does, where it would else keep a
// socket that others wait for until its idle time is over.
func TestUpstreamConnClosedAsItBecomesIdle(t *testing.T) {
	router := newTestRouter()
	cache := newCache(t)
	conn, err := net.Dial("tcp", cache.addr)
	if err != nil {
		t.Fatal(err)
	}
	upstream := &upstreamConn{host: newUpstreamHost(router, 0, "c1", false), conn: conn, reader: bufio.NewReader(conn)}
	upstream.host.idleConns = []*upstreamConn{upstream}
	upstream.host.closeIdleConns()
	ended := make(chan *attempt, 1)
	go func() { ended <- upstream.awaitAttempt() }()
	select {
	case got := <-ended:
		if got != nil {
			t.Error("a try from nowhere")
		}
	case <-time.After(2 * time.Second):
		t.Error("stays open")
	}
}

// stepping is a listener that stops between two steps when told: between having accepted and saying so, and between a
// connection's last look for bytes and its end.
type steppedListener struct {
	*net.TCPListener
	accepted     chan struct{} // nil: goes on at once
	proceed      chan struct{}
	beforeClose  func()       // before a connection ends its sending or itself, once
	failuresLeft atomic.Int64 // how often it fails yet for want of descriptors
}

func (s *steppedListener) Accept() (net.Conn, error) {
	if s.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	c, err := s.TCPListener.Accept()
	if err == nil && s.accepted != nil {
		s.accepted <- struct{}{}
		<-s.proceed
	}
	if err == nil && s.beforeClose != nil {
		return &steppedConn{TCPConn: c.(*net.TCPConn), beforeClose: sync.OnceFunc(s.beforeClose)}, nil
	}
	return c, err
}

type steppedConn struct {
	*net.TCPConn
	beforeClose func()
}

func (c *steppedConn) CloseWrite() error {
	c.beforeClose()
	return c.TCPConn.CloseWrite()
}

func (c *steppedConn) Close() error {
	c.beforeClose()
	return c.TCPConn.Close()
}

// A connection is accepted and not yet among the door's when the door closes and finds none: its request is answered
// before the door says that all have ended.
func TestConnAcceptedDuringCloseIsServed(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	step := &steppedListener{accepted: make(chan struct{}, 1), proceed: make(chan struct{})}
	r := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	c := r.dial()
	io.WriteString(c, getCommand("k", "taken", 60000))
	<-step.accepted
	closed := make(chan struct{})
	go func() {
		r.listener.Close(time.Now().Add(5*time.Second), true, Leaving{time.Second, time.Second, time.Second})
		close(closed)
	}()
	r.settles("the door does not close", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.closed
	})
	time.Sleep(50 * time.Millisecond) // the door has found nobody, if it does not wait for who was accepted
	close(step.proceed)
	cache.next(t).reply("value")
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "$5\r\n" {
		t.Errorf("%q, %v", line, err)
	}
	select {
	case <-closed:
		t.Error("all were said to have ended before the answer")
	default:
	}
	c.Close()
	<-closed
}

// Clients wait in the listener's queue when the door closes: all are let in and answered.
func TestBacklogIsServedDuringClose(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	step := &steppedListener{accepted: make(chan struct{}, 100), proceed: make(chan struct{})}
	r := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	var all []net.Conn
	for i := range 5 {
		c := r.dial()
		io.WriteString(c, getCommand("k", fmt.Sprint("id", i), 60000))
		all = append(all, c)
	}
	<-step.accepted
	go r.listener.Close(time.Now().Add(5*time.Second), true, Leaving{time.Second, time.Second, time.Second})
	r.settles("the door does not close", func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		return r.listener.closed
	})
	time.Sleep(50 * time.Millisecond)
	close(step.proceed)
	for range all {
		cache.next(t).reply("value")
	}
	for _, c := range all {
		if line, err := bufio.NewReader(c).ReadString('\n'); line != "$5\r\n" {
			t.Errorf("%q, %v", line, err)
		}
	}
}

// newCrossing is a proxy and a client that asks once more in the instant in which its connection ends.
func newCrossingRequest(t *testing.T, nodes ...*fakeNode) (*testProxy, net.Conn) {
	t.Helper()
	client := make(chan net.Conn, 1)
	r := newSteppedTestProxy(t, &steppedListener{beforeClose: func() {
		io.WriteString(<-client, getCommand("k", "crosses", 60000))
		time.Sleep(20 * time.Millisecond) // it has come
	}}, 10, defaultSettings, nodes...)
	c := r.dial()
	client <- c
	return r, c
}

// A request arrives between a connection's last look for bytes and its end, whatever ends it: the client sees an end and no
// reset, so that nothing is lost of what it was sent before, and nothing of the request is sent on.
func TestRequestDuringConnCloseSeesNoReset(t *testing.T) {
	for name, end := range map[string]func(r *testProxy){
		"yields":  func(r *testProxy) { r.listener.requestPhaseAll(phaseCloseAfterReply) },
		"retires": func(r *testProxy) { r.listener.requestPhaseAll(phaseCloseWhenIdle) },
		"shuts":   func(r *testProxy) { r.listener.requestPhaseAll(phaseStopReading) },
		"no room": func(r *testProxy) {
			r.settles("not idle", func() bool { r.listener.Allow(1, 0); return r.router.counters.ClientsOpen.Load() == 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			r, c := newCrossingRequest(t, cache, origin)
			in := bufio.NewReader(c)
			ask := func(id string) {
				io.WriteString(c, getCommand("k", id, 60000))
				cache.next(t).reply("value")
			}
			ask("first")
			if name == "yields" {
				in.Discard(len("$5\r\nvalue\r\n"))
				end(r)
				ask("second")
			} else {
				end(r)
			}
			if got, err := io.ReadAll(in); err != nil || string(got) != "$5\r\nvalue\r\n" {
				t.Errorf("%q, %v", got, err)
			}
			r.settles("still open", func() bool { return r.router.counters.ClientsOpen.Load() == 0 })
			if n := len(cache.commands); n > 0 || r.router.counters.Exchanges.Load() > 2 {
				t.Error("what was read after the end was sent on")
			}
		})
	}
}

// The first request arrives as its connection is ended for having said nothing so far: the same holds.
func TestFirstRequestDuringTimeoutSeesNoReset(t *testing.T) {
	t.Parallel()
	cache, origin := newCache(t), newOrigin(t)
	_, c := newCrossingRequest(t, cache, origin)
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("%q, %v", got, err)
	}
	if len(cache.commands) > 0 {
		t.Error("what was read after the end was sent on")
	}
}

// Commands that were read before the connection is told to take no more are answered, however many are before them.
func TestCommandsReadBeforeStopReadingAreAnswered(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	r := newTestProxy(t, 100, defaultSettings, cache, origin)
	r.settles("no list", func() bool { return len(r.router.Targets()) == 2 })
	c := r.dial()
	var text string
	const asked = maxPending + 6
	for i := range asked {
		text += getCommand("k", fmt.Sprint("id", i), 60000)
	}
	release := r.dialer.block(cache.addr)
	io.WriteString(c, text)
	r.settles("not taken", func() bool { return r.router.counters.Exchanges.Load() == maxPending })
	r.listener.requestPhaseAll(phaseStopReading)
	release()
	go func() {
		for at := range cache.commands {
			at.reply("value")
		}
	}()
	in, answers := bufio.NewReader(c), 0
	for ; ; answers++ {
		line, err := in.ReadString('\n')
		if err != nil {
			break
		}
		if line[0] == '$' {
			in.Discard(len("value\r\n"))
		}
	}
	if answers != asked {
		t.Errorf("%d answers to %d commands that were read", answers, asked)
	}
}

// A client leaves while its value is half written to a node that reads slowly: the node never gets the rest.
func TestClientGoneStopsPartialWrite(t *testing.T) {
	const size = 4 << 20
	begins, reads, got := make(chan struct{}), make(chan struct{}), make(chan int64, 1)
	origin := &fakeNode{addr: listen(t, func(c net.Conn) {
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(16 << 10)
		io.CopyN(io.Discard, c, 1)
		close(begins)
		<-reads
		n, _ := io.Copy(io.Discard, c)
		got <- n + 1
	})}
	r := newTestProxy(t, 10, defaultSettings, newCache(t), origin)
	c := r.dial()
	io.WriteString(c, string(wire.AppendCommand(nil, []byte("KV.SET"), []byte("k"), []byte("long"), []byte("c=put,t=x,d=60000,k=1"), size)))
	io.WriteString(c, strings.Repeat("v", size)+"\r\n")
	<-begins
	c.Close()
	r.settles("the try is not stopped", func() bool { return r.router.counters.UpstreamOpen.Load() == 0 })
	close(reads)
	select {
	case n := <-got:
		if n >= size {
			t.Errorf("%d bytes came, the whole command", n)
		}
	case <-time.After(3 * time.Second):
		t.Error("the connection stays, half a command on it")
	}
}

// The repeat of a deduped write waits for its connection until nodes no longer know the first: it is not begun then, and
// the client is answered.
func TestRetryAfterDedupWindowIsNotSent(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	const window = 300
	r := newTestProxy(t, 10, func(config *balancer.Terms) {
		config.Routes[1].Effect, config.Routes[1].Window = balancer.Deduped, window*10
	}, cache, origin)
	c := r.dial()
	io.WriteString(c, string(wire.AppendCommand(nil, []byte("KV.SET"), []byte("k"), []byte("once"), []byte("c=put,t=x,d=60000,k=1"), 1))+"v\r\n")
	first := origin.next(t)
	release := r.dialer.block(origin.addr)
	first.conn.(*net.TCPConn).SetLinger(0)
	first.conn.Close()
	r.settles("no repeat", func() bool { return r.router.counters.Tries.Load() == 2 })
	time.Sleep((window + 20) * time.Millisecond)
	release()
	if line, err := bufio.NewReader(c).ReadString('\n'); len(line) < 5 || line[0] != '-' {
		t.Errorf("%q, %v", line, err)
	}
	select {
	case again := <-origin.commands:
		t.Errorf("%s was asked again after its window", again.id)
	default:
	}
}

// What clients wait for longer than the process lives is answered before it ends.
func TestPendingRequestsAnsweredBeforeShutdown(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	r := newTestProxy(t, 10, defaultSettings, cache, origin)
	c := r.dial()
	io.WriteString(c, getCommand("k", "long", 60000))
	cache.next(t)
	r.router.Until(200 * time.Millisecond)
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if line, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("%q, %v", line, err)
	}
}

// A client asks how things stand before any are served, and leaves: nobody waits for it.
func TestClientGoneBeforeOpen(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	r := newTestProxy(t, 10, defaultSettings, cache, origin)
	r.listener.ready = make(chan struct{})
	r.dialer.block(cache.addr)
	c := r.dial()
	io.WriteString(c, getCommand("k", "left", 60000)+string(wire.AppendPlain(nil, "PING"))+"*")
	r.settles("no connection is made", func() bool { return r.router.counters.Dials.Load() == 1 })
	c.Close()
	r.settles("nobody noticed that the client left", func() bool { return r.router.counters.Left.Load() == 1 })
}

// A watch that says nothing is followed by a call at once, also where the list is to be asked for: with a pause behind it a
// second silent call would leave no time for a third before what was missed counts as told.
func TestSilentWatchIsRestartedAtOnce(t *testing.T) {
	for _, ask := range []bool{false, true} {
		calls := make(chan struct{}, 10)
		addr := listen(t, func(c net.Conn) {
			calls <- struct{}{}
			io.Copy(io.Discard, c) // and says nothing
		})
		r := newTestProxy(t, 10, func(config *balancer.Terms) { config.Ask, config.AskEvery = ask, 100000 }, newCache(t), newOrigin(t))
		list, err := NewList(addr, nil, r.router, 1, r.router.counters, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		go list.Run()
		began := time.Now()
		for range 3 {
			select {
			case <-calls:
			case <-time.After(10 * time.Second):
				t.Fatal("no call")
			}
		}
		hush := pushFirstByteTimeout
		if ask {
			hush = pollFirstByteTimeout
		}
		// two that were silent, the first as any call, since no watch had spoken
		if took := time.Since(began); took > 2*hush*5/4+500*time.Millisecond {
			t.Errorf("asked for: %v: the third call came after %v", ask, took)
		}
	}
}

// An answer over HTTP that tells no length ends with its connection; a reset is no end, and what came before it is no value.
func TestResetIsNotEndOfResponse(t *testing.T) {
	for reset, want := range map[bool]string{false: "$4\r\n", true: "-"} {
		origin := newOrigin(t)
		r := newTestProxy(t, 10, func(config *balancer.Terms) { config.Routes[1].Effect = balancer.NonRetriable }, newCache(t), origin)
		c := r.dial()
		io.WriteString(c, string(wire.AppendCommand(nil, []byte("KV.SET"), []byte("k"), []byte("put"), []byte("c=put,t=x,d=60000"), 1))+"v\r\n")
		at := origin.next(t)
		io.WriteString(at.conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond) // what was written comes before the reset
		if reset {
			at.conn.(*net.TCPConn).SetLinger(0)
		}
		at.conn.Close()
		if line, err := bufio.NewReader(c).ReadString('\n'); !strings.HasPrefix(line, want) {
			t.Errorf("reset %v: %q, %v", reset, line, err)
		}
		if n := len(origin.commands); n > 0 {
			t.Error("a write that may have run was sent again")
		}
	}
}

// No descriptor is left for a while, and accepting fails: who waited is let in once there is one.
func TestAcceptRecoversFromErrors(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	step := &steppedListener{}
	step.failuresLeft.Store(20)
	r := newSteppedTestProxy(t, step, 10, defaultSettings, cache, origin)
	c := r.dial()
	io.WriteString(c, getCommand("k", "waits", 60000))
	cache.next(t).reply("value")
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "$5\r\n" || step.failuresLeft.Load() >= 0 {
		t.Errorf("%q, %v", line, err)
	}
}

// A client leaves while answers are written that it does not read: what it asked behind them is given up at once.
func TestClientGoneWhileRepliesAreWritten(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	r := newTestProxy(t, 100, defaultSettings, cache, origin)
	r.settles("no list", func() bool { return len(r.router.Targets()) == 2 })
	c := r.dial()
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(c, getCommand("k", "long", 60000))
	fmt.Fprintf(cache.next(t).conn, "*1\r\n$%d\r\n%s\r\n", wire.MaxAnswer, strings.Repeat("v", wire.MaxAnswer))
	r.dialer.block(cache.addr)
	io.WriteString(c, getCommand("k", "behind", 60000))
	r.settles("nothing is written", func() bool { n, _ := peek(c); return n > 0 })
	c.Close()
	r.settles("still open", func() bool { return r.router.counters.ClientsOpen.Load() == 0 })
}

// A list comes in pieces, the last of them long after the first, or, where it is asked for, long after the call: it is taken from
// that call. Given up then, it would count as told and not be known, and the next call would find discovery busier.
func TestSlowEndpointListIsAccepted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const list = `{"index":3,"snapshot":true,"endpoints":[{"name":"c9","address":"127.0.0.1:1","zone":"a","type":"std","group":1,"status":"active","weight":1,"since_ms":0}]}` + "\n"
	late := pushFirstByteTimeout*5/4 + 200*time.Millisecond // longer than a call waits for its first word from who is on this machine
	for name, c := range map[string]struct {
		ask   bool
		first int // bytes that come at once
	}{"pushed, in pieces": {false, len(head) + 20}, "asked for, late": {true, 0}, "asked for, in pieces": {true, 10}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := head + fmt.Sprintf("%x\r\n%s\r\n", len(list), list)
			addr := listen(t, func(conn net.Conn) {
				conn.Read(make([]byte, 1000))
				io.WriteString(conn, text[:c.first])
				time.Sleep(late)
				io.WriteString(conn, text[c.first:])
				io.Copy(io.Discard, conn)
			})
			r := newTestProxy(t, 10, func(config *balancer.Terms) { config.Ask, config.AskEvery = c.ask, 100000 }, newCache(t), newOrigin(t))
			l, err := NewList(addr, nil, r.router, 1, r.router.counters, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			go l.Run()
			select {
			case <-l.First():
			case <-time.After(late + time.Second):
			}
			if n := r.router.counters.Lists.Load(); n != 1 || l.Version() != 3 {
				t.Errorf("%d lists, version %d", n, l.Version())
			}
		})
	}
}
