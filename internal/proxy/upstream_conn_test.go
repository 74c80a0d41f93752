package proxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
)

func newTestAttempt(router *Router) *attempt {
	return &attempt{request: &request{}, sentAt: router.clock.Now(), timeout: secondTicks}
}

// A connection with a second response after the first is not reused, since the second would be taken for the response to
// the next attempt.
func TestExtraResponseClosesUpstreamConn(t *testing.T) {
	router := newTestRouter()
	near, far := net.Pipe()
	go func() {
		if _, err := far.Read(make([]byte, 1000)); err != nil {
			return // the test fails by the missing response
		}
		// A failure shows in the missing response as well.
		_, _ = io.WriteString(far, respValue("one")+respValue("two"))
	}()
	upstream := newTestConn(router, near)
	got := upstream.roundTrip(newTestAttempt(router))
	if got.outcome != balancer.Completed || string(got.value) != "one" || got.reusable || got.err != nil ||
		router.counters.BadPeer.Load() != 1 {
		t.Errorf("got outcome %d, value %q, reusable %v, error %v, want completed, one, not reusable, counted as bad input",
			got.outcome, got.value, got.reusable, got.err)
	}
}

// Bytes after a complete response may arrive once the connection is assigned the next attempt. They must not be taken
// for its response, and nothing must be written to a connection that the upstream has closed by then: in both cases the
// attempt gets a new connection. After the bytes no connection to the host is used again, after the close it may be.
func TestStaleUpstreamConnIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name      string
		makeStale func(t *testing.T, conn net.Conn, response string)
		reusable  bool // the connection that replaces the stale one
	}{
		{"bytes", func(t *testing.T, conn net.Conn, response string) { send(t, conn, response) }, false},
		{"close", func(t *testing.T, conn net.Conn, _ string) { closeConn(t, conn) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			stale, addr := newServerOfTwo(t, test.makeStale)
			upstream := newTestConn(newTestRouter(), nil)
			upstream.addr = addr
			for i, want := range []string{"one", "two"} {
				got := upstream.roundTrip(newTestAttempt(upstream.host.router))
				if got.outcome != balancer.Completed || string(got.value) != want || got.reusable != (i == 0 || test.reusable) || got.err != nil {
					t.Errorf("got outcome %d, value %q, reusable %v, error %v, want completed with %q",
						got.outcome, got.value, got.reusable, got.err, want)
				}
				select {
				case act := <-stale:
					act()
				case <-time.After(time.Second):
					t.Fatal("no new connection was opened")
				}
				time.Sleep(lifecycle.ResponseRest + 20*time.Millisecond)
			}
		})
	}
}

// newServerOfTwo returns the address of a server that answers one request on each of two connections, the first with "one"
// and the second with "two", and a channel with a call for each connection that makes it stale.
func newServerOfTwo(t *testing.T, makeStale func(t *testing.T, conn net.Conn, response string)) (<-chan func(), string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // which also ends the goroutine below
	stale := make(chan func(), 2)
	go func() {
		for _, value := range []string{"one", "two"} {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				return
			}
			response := respValue(value)
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
			stale <- func() { makeStale(t, conn, response) }
		}
	}()
	return stale, ln.Addr().String()
}

// A connection that is closed between its last response and becoming idle must close at once. Otherwise it would keep,
// until its idle timeout, a socket for which attempts wait.
func TestUpstreamConnClosedAsItBecomesIdle(t *testing.T) {
	conn, err := net.Dial("tcp", newCache(t).addr)
	if err != nil {
		t.Fatal(err)
	}
	upstream := newTestConn(newTestRouter(), conn)
	upstream.host.idleConns = []*upstreamConn{upstream}
	upstream.host.closeIdleConns()
	ended := make(chan *attempt, 1)
	go func() { ended <- upstream.awaitAttempt() }()
	select {
	case got := <-ended:
		if got != nil {
			t.Error("got an attempt that was not assigned")
		}
	case <-time.After(2 * time.Second):
		t.Error("the connection was not closed within 2 s")
	}
}

// The retry of a deduplicated write waits for its connection until after the dedup window, when upstreams would execute
// it a second time. It must not be sent, and the client must get a reply.
func TestRetryAfterDedupWindowIsNotSent(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	const windowMS = 300
	p := newTestProxy(t, 10, func(config *balancer.Settings) {
		config.Routes[1].Effect, config.Routes[1].DedupWindow = balancer.Deduped, windowMS*ticksPerMillisecond
	}, cache, origin)
	client := p.dial()
	send(t, client, setCommand("once", longPut, "v"))
	first := origin.next(t)
	release := p.dialer.block(origin.addr)
	resetOnClose(t, first.conn)
	closeConn(t, first.conn)
	p.eventually("no retry", func() bool { return p.router.counters.Tries.Load() == 2 })
	time.Sleep((windowMS + 20) * time.Millisecond)
	release()
	if line, err := bufio.NewReader(client).ReadString('\n'); len(line) < 5 || line[0] != '-' {
		t.Errorf("got reply %q, error %v, want an error reply", line, err)
	}
	select {
	case again := <-origin.commands:
		t.Errorf("request %s was sent again after its dedup window", again.id)
	default:
	}
}

// An HTTP response without a length ends with the close of its connection. A reset is not such an end, and the bytes
// before it are not a complete value.
func TestResetIsNotEndOfResponse(t *testing.T) {
	for _, test := range []struct {
		name  string
		reset bool
		want  string
	}{
		{"closed", false, "$4\r\n"},
		{"reset", true, "-"},
	} {
		t.Run(test.name, func(t *testing.T) {
			origin := newOrigin(t)
			p := newTestProxy(t, 10, func(config *balancer.Settings) {
				config.Routes[1].Effect = balancer.NonRetriable
			}, newCache(t), origin)
			client := p.dial()
			send(t, client, setCommand("put", "c=put,t=x,d=60000", "v"))
			received := origin.next(t)
			send(t, received.conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond) // so that what was written arrives before the reset
			if test.reset {
				resetOnClose(t, received.conn)
			}
			closeConn(t, received.conn)
			if line, err := bufio.NewReader(client).ReadString('\n'); !strings.HasPrefix(line, test.want) {
				t.Errorf("reset %v: got reply %q, error %v, want a value only if not reset", test.reset, line, err)
			}
			if n := len(origin.commands); n > 0 {
				t.Error("a write that the origin may have executed was sent again")
			}
		})
	}
}

// Caches and the origin receive the remaining wait of the attempt, rather than the wait that the client sent.
func TestUpstreamIsToldRemainingWait(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	send(t, p.dial(), getCommand("missed", 5000))
	received := cache.next(t)
	const lateMS = 300
	time.Sleep(lateMS * time.Millisecond)
	send(t, received.conn, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
	received = origin.next(t)
	facts, err := wire.ParseFacts([]byte(received.facts))
	if err != nil || facts.WaitMilliseconds > 5000-lateMS || facts.WaitMilliseconds < 1000 || string(facts.Tenant) != "x" ||
		received.id != "missed" {
		t.Errorf("got facts %q of request %s, error %v, want tenant x and a wait from 1000 to 5000-lateMS ms of request missed",
			received.facts, received.id, err)
	}
}
