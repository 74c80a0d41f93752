package proxy

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"woodproxy/balancer"
	"woodproxy/internal/invariant"
	"woodproxy/internal/settings"
	"woodproxy/internal/wire"
)

const (
	secondTicks = 1000 * ticksPerMillisecond // one second in the balancer's ticks
	longWaitMS  = 60000                      // client wait that no test reaches
	longPut     = "c=put,t=x,d=60000,k=1"    // facts of a write with the wait longWaitMS that may be retried
)

// newTestRouter returns a router that is not running, with one socket.
func newTestRouter() *Router {
	config := &settings.Settings{Balancer: balancer.Settings{Routes: []balancer.Route{{Objective: 6000, Timeout: 12000, Value: 1}}}}
	router := NewRouter(config, 1, NewClock(), 1, &Counters{}, zap.NewNop())
	router.valueMemory.resize(1 << 20)
	return router
}

// newTestConn returns an upstream connection to a cache for a router that is not running.
func newTestConn(router *Router, conn net.Conn) *upstreamConn {
	upstream := &upstreamConn{host: newUpstreamHost(router, 0, "c1", false), conn: conn}
	upstream.host.ready.Store(true)
	if conn != nil {
		upstream.reader = bufio.NewReader(conn)
	}
	return upstream
}

// send writes a text, and fails the test on an error.
func send(t *testing.T, to io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Fatalf("send: %v", err)
	}
}

// closeConn closes an open connection, and fails the test on an error.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}
}

// resetOnClose makes the close of a connection send a reset.
func resetOnClose(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatalf("set linger: %v", err)
	}
}

// The types below let tests force the order of events at the end of requests and connections: connections to nodes are
// established, and nodes respond, when the test decides.

// blockingDialer is a net.Dialer that dials blocked addresses only once they are released.
type blockingDialer struct {
	net.Dialer
	mu        sync.Mutex
	blocked   map[string]chan struct{} // by address; closed when connections may be established
	failing   atomic.Pointer[error]    // error that dials return; nil: dials succeed
	failCount atomic.Int64             // number of dials that still fail; 0: all
	dials     atomic.Int64             // number of dials so far
}

// dialError returns the error of a dial whose system call failed.
func dialError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

func (d *blockingDialer) block(addr string) (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	released := make(chan struct{})
	d.blocked[addr] = released
	return sync.OnceFunc(func() {
		d.mu.Lock()
		delete(d.blocked, addr)
		d.mu.Unlock()
		close(released)
	})
}

// DialContext ignores the context, like a connection that is established just as the context ends.
func (d *blockingDialer) DialContext(_ context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	released := d.blocked[addr]
	d.mu.Unlock()
	d.dials.Add(1)
	if err := d.failing.Load(); err != nil {
		if d.failCount.Load() > 0 && d.failCount.Add(-1) == 0 {
			d.failing.Store(nil)
		}
		return nil, *err
	}
	if released != nil {
		<-released
	}
	conn, err := d.Dial(network, addr)
	if err != nil {
		return nil, err
	}
	// With a small buffer, a long command is only partly written to a node that reads nothing.
	if err := conn.(*net.TCPConn).SetWriteBuffer(16 << 10); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// respDetails are the elements behind the value in a cache's response: how the read went, and no load report.
const respDetails = "$3\r\nhit\r\n$-1\r\n"

// originValue returns the origin's response with a value.
func originValue(value string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
}

// respValue returns a cache's response with a value.
func respValue(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s", len(value), value, respDetails)
}

// receivedCommand is a command that a node has received.
type receivedCommand struct {
	id, facts string
	conn      net.Conn
}

// sendValue sends a response with the value "value" in the protocol of a cache.
func (c receivedCommand) sendValue(t *testing.T) {
	t.Helper()
	send(t, c.conn, respValue("value"))
}

// fakeNode is a node that passes received commands to the test, and sends no responses by itself.
type fakeNode struct {
	addr     string
	commands chan receivedCommand
}

// listen accepts connections at a new address until the test ends, and returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return listenWith(t, net.ListenConfig{}, serve)
}

// listenWith is listen with a configuration of the listening socket.
func listenWith(t *testing.T, config net.ListenConfig, serve func(net.Conn)) string {
	t.Helper()
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // an error does not matter after the test
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the proxy may have closed it already
				serve(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

func newCache(t *testing.T) *fakeNode {
	t.Helper()
	node := &fakeNode{commands: make(chan receivedCommand, 1000)}
	node.addr = listen(t, func(conn net.Conn) {
		reader := bufio.NewReaderSize(conn, 8<<10)
		for {
			if _, err := reader.Peek(reader.Buffered() + 1); err != nil {
				return
			}
			buffered, _ := reader.Peek(reader.Buffered()) // never fails for buffered bytes
			cmd, length, err := wire.ParseCommand(buffered)
			if err != nil {
				continue
			}
			node.commands <- receivedCommand{string(cmd.ID), string(cmd.Facts), conn}
			if cmd.ValueLength >= 0 {
				length += cmd.ValueLength + len(crlf)
			}
			if _, err := reader.Discard(length); err != nil {
				return
			}
		}
	})
	return node
}

func newOrigin(t *testing.T) *fakeNode {
	t.Helper()
	node := &fakeNode{commands: make(chan receivedCommand, 1000)}
	node.addr = listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			node.commands <- receivedCommand{req.Header.Get("X-Correlation-Id"), req.Header.Get("X-Facts"), conn}
		}
	})
	return node
}

// next returns the next command that the node receives.
func (n *fakeNode) next(t *testing.T) receivedCommand {
	t.Helper()
	select {
	case cmd := <-n.commands:
		return cmd
	case <-time.After(5 * time.Second):
		t.Fatal("the node received no command within 5 s")
	}
	return receivedCommand{}
}

// testProxy is a proxy without discovery that uses real connections.
type testProxy struct {
	t        *testing.T
	listener *Listener
	router   *Router
	dialer   *blockingDialer
	ln       *net.TCPListener
}

// newTestProxy starts a proxy for the given nodes, the last of which is the origin. change modifies its settings.
func newTestProxy(t *testing.T, sockets int, change func(*balancer.Settings), nodes ...*fakeNode) *testProxy {
	t.Helper()
	return newSteppedTestProxy(t, &steppedListener{}, sockets, change, nodes...)
}

func newSteppedTestProxy(
	t *testing.T, step *steppedListener, sockets int, change func(*balancer.Settings), nodes ...*fakeNode,
) *testProxy {
	t.Helper()
	route := balancer.Route{Objective: 300000, Timeout: 600000, Value: 1}
	config := &settings.Settings{OriginKind: "origin", Routes: map[string]int{"read": 0, "put": 1}, Balancer: balancer.Settings{
		Proxies: 1, MaxAttempts: 3,
		Tick: 50, CacheAside: true, SlowStartOverloadWindow: 20000, SlowStartOverloadMultiple: 3, SlowStart: 1, SlowStartInitialFraction: 0.3,
		Routes: []balancer.Route{route, route},
	}}
	change(&config.Balancer)
	for _, route := range config.Balancer.Routes {
		config.LongestTimeout = max(config.LongestTimeout, route.Timeout)
	}
	checker := invariant.NewChecker(func(v invariant.Violation) { t.Errorf("invariant violated: %v", v) })
	p := &testProxy{
		t: t, router: NewRouter(config, 1, NewClock(), sockets, &Counters{Invariants: checker}, zap.NewNop()),
		dialer: &blockingDialer{blocked: map[string]chan struct{}{}},
	}
	p.router.dialer = p.dialer
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // the proxy may have closed it already
	p.ln = ln.(*net.TCPListener)
	step.TCPListener = p.ln
	p.listener = NewListener(step, p.router, 64, p.router.counters, zap.NewNop())
	if step.timeouts != nil {
		p.listener.timeouts = *step.timeouts
	}
	p.listener.SetLimits(100, 100)
	p.listener.Open()
	update := endpointUpdate{complete: true, source: listKnownAtStart, endpoints: endpointsOf(nodes)}
	p.router.mailbox.post(func() { p.router.updateEndpoints(update) })
	go p.router.Run()
	go p.listener.Run()
	return p
}

// endpointsOf returns the endpoint list of nodes, the last of which is the origin.
func endpointsOf(nodes []*fakeNode) []wire.Endpoint {
	var endpoints []wire.Endpoint
	for i, node := range nodes {
		endpoint := wire.Endpoint{Name: fmt.Sprint("c", i), Address: node.addr, Kind: "std", Ready: true, Weight: 1}
		if i == len(nodes)-1 {
			endpoint.Name, endpoint.Kind = "o1", "origin"
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// dial returns a client connection to the proxy.
func (p *testProxy) dial() net.Conn {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.ln.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it already
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		p.t.Fatal(err)
	}
	return conn
}

// getCommand returns a command that reads the key "k".
func getCommand(id string, waitMS int) string {
	facts := fmt.Sprint("c=read,t=x,d=", waitMS)
	return string(wire.AppendCommand(nil, []byte(commandGet), []byte("k"), []byte(id), []byte(facts), -1))
}

// setCommand returns a command that writes the key "k".
func setCommand(id, facts, value string) string {
	header := wire.AppendCommand(nil, []byte(commandSet), []byte("k"), []byte(id), []byte(facts), len(value))
	return string(header) + value + "\r\n"
}

// eventually waits until a condition holds, and fails the test with the given text if it does not hold within 2 s.
func (p *testProxy) eventually(failure string, holds func() bool) {
	p.t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatal(failure)
}

// defaultSettings leaves the settings unchanged.
func defaultSettings(*balancer.Settings) {}

// steppedListener is a listener that lets a test run code between two steps: between accepting a connection and returning
// it, and between the last check for input of a connection and its close.
type steppedListener struct {
	timeouts *clientTimeouts // nil: the defaults
	*net.TCPListener
	accepted     chan struct{} // receives a value for each accepted connection, which waits for proceed; nil: no wait
	proceed      chan struct{}
	beforeClose  func()        // called once for each connection, before CloseWrite or Close
	atDeadline   func()        // called when the deadline of a read passes
	failuresLeft atomic.Int64  // number of calls of Accept that still fail
	failure      syscall.Errno // error of failing calls of Accept; 0: EMFILE
	onFailure    func()        // called for each failing call of Accept; nil: not called
	readsAtEnd   atomic.Int64  // bytes that were read from connections after CloseWrite
}

func (l *steppedListener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		if l.onFailure != nil {
			l.onFailure()
		}
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", cmp.Or(l.failure, syscall.EMFILE))}
	}
	conn, err := l.TCPListener.Accept()
	if err == nil && l.accepted != nil {
		l.accepted <- struct{}{}
		<-l.proceed
	}
	if err != nil || l.beforeClose == nil && l.atDeadline == nil {
		return conn, err
	}
	if err := conn.(*net.TCPConn).SetWriteBuffer(serverWriteBuffer); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	stepped := &steppedConn{TCPConn: conn.(*net.TCPConn), readsAtEnd: &l.readsAtEnd, beforeClose: func() {}, atDeadline: func() {}}
	if l.beforeClose != nil {
		stepped.beforeClose = sync.OnceFunc(l.beforeClose)
	}
	if l.atDeadline != nil {
		stepped.atDeadline = l.atDeadline
	}
	return stepped, nil
}

// serverWriteBuffer is the size, in bytes, of the proxy's send buffers for client connections.
const serverWriteBuffer = 200 << 10

type steppedConn struct {
	*net.TCPConn
	beforeClose func()
	atDeadline  func()
	sendingEnds atomic.Bool
	readsAtEnd  *atomic.Int64
}

func (c *steppedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.atDeadline()
	}
	if c.sendingEnds.Load() {
		c.readsAtEnd.Add(int64(n))
	}
	return n, err
}

func (c *steppedConn) CloseWrite() error {
	c.beforeClose()
	c.sendingEnds.Store(true)
	return c.TCPConn.CloseWrite()
}

func (c *steppedConn) Close() error {
	c.beforeClose()
	return c.TCPConn.Close()
}
