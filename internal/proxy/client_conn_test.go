package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

// A client closes its connection while its request waits for an upstream connection to be established. The request is not
// sent, whether or not attempts may be canceled, and the upstream connection serves the next request.
func TestClientGoneWhileDialing(t *testing.T) {
	for _, mayCancel := range []bool{false, true} {
		t.Run(fmt.Sprint("may cancel ", mayCancel), func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			p := newTestProxy(t, 10, func(config *balancer.Settings) { config.MayCancel = mayCancel }, cache, origin)
			release := p.dialer.block(cache.addr)
			client := p.dial()
			send(t, client, getCommand("left", longWaitMS))
			p.eventually("no upstream connection is dialed", func() bool { return p.router.counters.Dials.Load() == 1 })
			closeConn(t, client)
			p.eventually("the client's close is not detected", func() bool { return p.router.counters.Left.Load() == 1 })
			release()
			send(t, p.dial(), getCommand("stays", longWaitMS))
			if got := cache.next(t); got.id != "stays" {
				t.Errorf("request %s was sent after its client had closed the connection", got.id)
			}
		})
	}
}

// The origin responds to a hedged read while the connection for the first attempt is still being established. The first
// attempt is not sent after the final reply.
func TestHedgeAnsweredWhileDialing(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, func(config *balancer.Settings) {
		config.ParallelAttempts = true
		config.Routes[1].Objective, config.Routes[1].Timeout = 1000, 2000 // an attempt is late after 0.1 s
	}, cache, origin)
	release := p.dialer.block(cache.addr)
	client := p.dial()
	send(t, client, getCommand("hedged", longWaitMS))
	hedge := origin.next(t)
	send(t, hedge.conn, originValue("value"))
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
		t.Fatalf("got reply line %q, error %v; want a value of 5 bytes", line, err)
	}
	release()
	send(t, client, getCommand("next", longWaitMS))
	if got := cache.next(t); got.id != "next" {
		t.Errorf("request %s was sent after its final reply", got.id)
	}
}

// A client closes its connection while its request is queued for a socket. The request is not sent when the socket is
// free.
func TestClientGoneWhileQueuedForSocket(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 1, defaultSettings, cache, origin)
	first, second := p.dial(), p.dial()
	send(t, first, getCommand("first", longWaitMS))
	busy := cache.next(t)
	send(t, second, getCommand("left", longWaitMS))
	p.eventually("there is no attempt for the second request", func() bool { return p.router.counters.Tries.Load() == 2 })
	closeConn(t, second)
	p.eventually("the client's close is not detected", func() bool { return p.router.counters.Left.Load() == 1 })
	busy.sendValue(t)
	send(t, p.dial(), getCommand("stays", longWaitMS))
	if got := cache.next(t); got.id != "stays" {
		t.Errorf("request %s was sent after its client had closed the connection", got.id)
	}
}

// A client closes its connection while the proxy does not read from it, because the maximum number of commands is pending
// and the buffer is full, because the connection has to stop reading while replies are pending, or because it streams a
// value that has stalled. All pending requests that were not shed before are abandoned at once.
func TestClientGoneWhileConnIsNotRead(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin func(p *testProxy, client net.Conn, cache *fakeNode) (pending int64)
	}{
		{"full pipeline", func(p *testProxy, client net.Conn, _ *fakeNode) int64 {
			var commands strings.Builder
			for i := range 300 {
				commands.WriteString(getCommand(fmt.Sprint("id", i), longWaitMS))
			}
			p.dialer.block(p.router.hosts[0].endpoint.Address)
			go func() { _, _ = io.WriteString(client, commands.String()) }() // the proxy does not accept all of it
			return maxPending
		}},
		{"stop reading", func(p *testProxy, client net.Conn, _ *fakeNode) int64 {
			p.dialer.block(p.router.hosts[0].endpoint.Address)
			send(p.t, client, getCommand("pending", longWaitMS))
			p.eventually("no upstream connection is dialed", func() bool { return p.router.counters.Dials.Load() == 1 })
			p.listener.requestPhaseAll(lifecycle.PhaseStopReading)
			send(p.t, client, getCommand("unread", longWaitMS))
			return 1
		}},
		{"stalled stream", func(p *testProxy, client net.Conn, cache *fakeNode) int64 {
			send(p.t, client, getCommand("long", longWaitMS))
			part := strings.Repeat("v", wire.MaxBufferedValue)
			send(p.t, cache.next(p.t).conn, fmt.Sprintf("*3\r\n$%d\r\n%s", 4*wire.MaxBufferedValue, part))
			if _, err := io.CopyN(io.Discard, client, wire.MaxBufferedValue/2); err != nil {
				p.t.Fatal(err)
			}
			p.dialer.block(p.router.hosts[0].endpoint.Address)
			send(p.t, client, getCommand("behind", longWaitMS)+"*")
			return 0
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			p := newTestProxy(t, 100, defaultSettings, cache, origin)
			p.eventually("the endpoint list is not applied", func() bool { return len(p.router.Endpoints()) == 2 })
			client := p.dial()
			pending := test.begin(p, client, cache)
			counters := p.router.counters
			p.eventually("not all pending requests are read", func() bool { return counters.Exchanges.Load() >= pending })
			closeConn(t, client)
			p.eventually("not all requests that were read have ended", func() bool {
				ended := counters.Left.Load() + counters.Shed.Load() + counters.Completed.Load()
				return ended == counters.Exchanges.Load() && counters.ClientsOpen.Load() == 0
			})
		})
	}
}

// A client sends PING before the proxy serves clients, and closes its connection. The close is detected although the
// reply to PING waits for Open.
func TestClientGoneBeforeOpen(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	p.listener.ready = make(chan struct{})
	p.dialer.block(cache.addr)
	client := p.dial()
	send(t, client, getCommand("left", longWaitMS)+string(wire.AppendPlainCommand(nil, "PING"))+"*")
	p.eventually("no upstream connection is dialed", func() bool { return p.router.counters.Dials.Load() == 1 })
	closeConn(t, client)
	p.eventually("the client's close is not detected", func() bool { return p.router.counters.Left.Load() == 1 })
}

// A client closes its connection while its value has been written partially to a node that reads slowly. The node never
// receives the rest.
func TestClientGoneStopsPartialWrite(t *testing.T) {
	const size = 4 << 20
	begun, resume, received := make(chan struct{}), make(chan struct{}), make(chan int64, 1)
	origin := &fakeNode{addr: listen(t, func(conn net.Conn) {
		// Errors are ignored: with a larger buffer or without input, the check of the received bytes fails.
		_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		_, _ = io.CopyN(io.Discard, conn, 1)
		close(begun)
		<-resume
		n, _ := io.Copy(io.Discard, conn) // ends with a reset, as expected
		received <- n + 1
	})}
	p := newTestProxy(t, 10, defaultSettings, newCache(t), origin)
	client := p.dial()
	send(t, client, setCommand("long", longPut, strings.Repeat("v", size)))
	<-begun
	closeConn(t, client)
	p.eventually("the upstream connection is not closed", func() bool { return p.router.counters.UpstreamOpen.Load() == 0 })
	close(resume)
	select {
	case n := <-received:
		if n >= size {
			t.Errorf("the node received %d bytes, want less than the value's size", n)
		}
	case <-time.After(3 * time.Second):
		t.Error("the upstream connection stays open after a partially written command")
	}
}

// A client closes its connection while the proxy writes replies that the client does not read. The requests behind them
// are abandoned at once.
func TestClientGoneWhileRepliesAreWritten(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 100, defaultSettings, cache, origin)
	p.eventually("the endpoint list is not applied", func() bool { return len(p.router.Endpoints()) == 2 })
	client := p.dial()
	if err := client.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	send(t, client, getCommand("long", longWaitMS))
	value := strings.Repeat("v", wire.MaxResponseValue)
	send(t, cache.next(t).conn, respValue(value))
	p.dialer.block(cache.addr)
	send(t, client, getCommand("behind", longWaitMS))
	p.eventually("no reply is written", func() bool { return hasUnread(client) })
	closeConn(t, client)
	p.eventually("the client connection is still open", func() bool { return p.router.counters.ClientsOpen.Load() == 0 })
}

// Commands that were read before the connection has to stop reading get a reply, even if the maximum number of commands
// was pending before them.
func TestCommandsReadBeforeStopReadingAreAnswered(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 100, defaultSettings, cache, origin)
	p.eventually("the endpoint list is not applied", func() bool { return len(p.router.Endpoints()) == 2 })
	client := p.dial()
	const sent = maxPending + 6
	var commands strings.Builder
	for i := range sent {
		commands.WriteString(getCommand(fmt.Sprint("id", i), longWaitMS))
	}
	release := p.dialer.block(cache.addr)
	send(t, client, commands.String())
	p.eventually("not all commands that may be pending are read", func() bool {
		return p.router.counters.Exchanges.Load() == maxPending
	})
	p.listener.requestPhaseAll(lifecycle.PhaseStopReading)
	release()
	go func() {
		for cmd := range cache.commands {
			_, _ = io.WriteString(cmd.conn, respValue("value")) // a failure is detected by the missing reply
		}
	}()
	reader, replies := bufio.NewReader(client), 0
	for ; ; replies++ {
		line, err := reader.ReadString('\n')
		if err != nil {
			break
		}
		if line[0] != '$' {
			continue
		}
		if _, err := reader.Discard(len("value\r\n")); err != nil {
			break
		}
	}
	if replies != sent {
		t.Errorf("got %d replies, want %d", replies, sent)
	}
}

// newCrossingRequest returns a proxy and a client that sends one more request at the time at which its connection is
// closed. The test fails if the proxy reads any of that request.
func newCrossingRequest(t *testing.T, nodes ...*fakeNode) (*testProxy, net.Conn) {
	t.Helper()
	crossing := make(chan net.Conn, 1)
	step := &steppedListener{}
	t.Cleanup(func() {
		if n := step.readsAtEnd.Load(); n > 0 {
			t.Errorf("%d bytes were read of a request that gets no reply", n)
		}
	})
	step.beforeClose = func() {
		if _, err := io.WriteString(<-crossing, getCommand("crosses", longWaitMS)); err != nil {
			t.Error(err)
		}
		time.Sleep(20 * time.Millisecond) // lets the request arrive
	}
	p := newSteppedTestProxy(t, step, 10, defaultSettings, nodes...)
	client := p.dial()
	crossing <- client
	return p, client
}

// A request arrives between a connection's last check for input and its close, whatever the reason for the close. The
// client sees the end of the connection and no reset, so that it loses no reply, and the request is not sent to an
// upstream.
func TestRequestDuringConnCloseSeesNoReset(t *testing.T) {
	requestPhase := func(phase lifecycle.ClosePhase) func(*testProxy) {
		return func(p *testProxy) { p.listener.requestPhaseAll(phase) }
	}
	for _, test := range []struct {
		name       string
		end        func(p *testProxy)
		afterReply bool // the connection closes after one more reply
	}{
		{"close after reply", requestPhase(lifecycle.PhaseCloseAfterReply), true},
		{"close when idle", requestPhase(lifecycle.PhaseCloseWhenIdle), false},
		{"stop reading", requestPhase(lifecycle.PhaseStopReading), false},
		{"evicted", func(p *testProxy) {
			p.eventually("the connection is not evicted", func() bool {
				p.listener.SetLimits(1, 0)
				return p.router.counters.ClientsOpen.Load() == 0
			})
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			p, client := newCrossingRequest(t, cache, origin)
			reader := bufio.NewReader(client)
			get := func(id string) {
				t.Helper()
				send(t, client, getCommand(id, longWaitMS))
				cache.next(t).sendValue(t)
			}
			get("first")
			if test.afterReply {
				if _, err := reader.Discard(len("$5\r\nvalue\r\n")); err != nil {
					t.Fatal(err)
				}
				p.eventually("the first reply is not recorded", p.repliesRecorded)
			}
			test.end(p)
			if test.afterReply {
				get("second")
			}
			if got, err := io.ReadAll(reader); err != nil || string(got) != "$5\r\nvalue\r\n" {
				t.Errorf("got %q, error %v; want one reply and the end of the connection", got, err)
			}
			p.eventually("the client connection is still open", func() bool { return p.router.counters.ClientsOpen.Load() == 0 })
			if n := len(cache.commands); n > 0 || p.router.counters.Exchanges.Load() > 2 {
				t.Error("a request that arrived during the close was sent to an upstream")
			}
		})
	}
}

// repliesRecorded reports whether each client connection has recorded the replies that it has written. Until then a close that
// is requested after a reply takes a written one for the next.
func (p *testProxy) repliesRecorded() bool {
	p.listener.mu.Lock()
	defer p.listener.mu.Unlock()
	for c := range p.listener.conns {
		c.mu.Lock()
		recorded := len(c.pending) == 0 && !c.answeredRequest
		c.mu.Unlock()
		if !recorded {
			return false
		}
	}
	return true
}

// As in TestRequestDuringConnCloseSeesNoReset, for the first request of a connection that is closed because it has sent
// none in time.
func TestFirstRequestDuringTimeoutSeesNoReset(t *testing.T) {
	t.Parallel()
	cache, origin := newCache(t), newOrigin(t)
	_, client := newCrossingRequest(t, cache, origin)
	if got, err := io.ReadAll(client); err != nil || len(got) > 0 {
		t.Errorf("got %q, error %v; want only the end of the connection", got, err)
	}
	if len(cache.commands) > 0 {
		t.Error("a request that arrived during the close was sent to an upstream")
	}
}
