package proxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

func newTestAttempt(router *Router) *attempt {
	return &attempt{request: &request{}, sentAt: router.clock.Now(), timeout: secondTicks}
}

// A second response that lies behind the first would pass for the response to the next attempt: no such is carried.
func TestExtraResponseClosesUpstreamConn(t *testing.T) {
	router := newTestRouter()
	near, far := net.Pipe()
	go func() {
		if _, err := far.Read(make([]byte, 1000)); err != nil {
			return // which the test sees by the missing response
		}
		_, _ = io.WriteString(far, "*1\r\n$3\r\none\r\n*1\r\n$3\r\ntwo\r\n") // as with this
	}()
	upstream := newTestConn(router, near)
	got := upstream.roundTrip(newTestAttempt(router))
	if got.outcome != balancer.Completed || string(got.value) != "one" || got.reusable || got.err != nil ||
		router.counters.BadPeer.Load() != 1 {
		t.Errorf("outcome %d, %q, reusable %v: %v", got.outcome, got.value, got.reusable, got.err)
	}
}

// Bytes behind a good response that arrive only once the connection is assigned the next attempt are not taken for the
// response to that, and a connection that the upstream has closed by then is not written to: each time there is a new
// connection.
func TestStaleUpstreamConnIsReplaced(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // which also ends the goroutine below
	makeStale := make(chan func(), 3)
	go func() {
		for _, value := range []string{"one", "two", "six"} {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				return
			}
			response := "*1\r\n$3\r\n" + value + "\r\n"
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
			if value == "one" {
				makeStale <- func() { send(t, conn, response) }
			} else {
				makeStale <- func() { closeConn(t, conn) }
			}
		}
	}()
	router := newTestRouter()
	upstream := newTestConn(router, nil)
	upstream.addr = ln.Addr().String()
	for _, want := range []string{"one", "two", "six"} {
		got := upstream.roundTrip(newTestAttempt(router))
		if got.outcome != balancer.Completed || string(got.value) != want || !got.reusable || got.err != nil {
			t.Errorf("outcome %d, %q, reusable %v: %v", got.outcome, got.value, got.reusable, got.err)
		}
		select {
		case act := <-makeStale:
			act()
		case <-time.After(time.Second):
			t.Fatal("no new connection")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A connection is told to close in the instant between its last response and becoming idle: it does, where it would
// else keep a socket that attempts wait for until its idle time is over.
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
			t.Error("an attempt that nobody has assigned")
		}
	case <-time.After(2 * time.Second):
		t.Error("the connection stays open")
	}
}

// The retry of a deduplicated write waits for its connection until upstreams no longer know the first attempt: it is
// not begun then, and the client gets a reply.
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
		t.Errorf("%q, %v", line, err)
	}
	select {
	case again := <-origin.commands:
		t.Errorf("%s was sent again after its window", again.id)
	default:
	}
}

// An HTTP response that tells no length ends with its connection. A reset is no such end, and what came before it is no
// value.
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
				t.Errorf("reset %v: %q, %v", test.reset, line, err)
			}
			if n := len(origin.commands); n > 0 {
				t.Error("a write that may have run was sent again")
			}
		})
	}
}

// Caches and the origin are told how long this attempt waits, not what the client said when it asked.
func TestUpstreamIsToldRemainingWait(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	send(t, p.dial(), getCommand("missed", 5000))
	received := cache.next(t)
	const lateMS = 300
	time.Sleep(lateMS * time.Millisecond)
	send(t, received.conn, "*1\r\n$-1\r\n")
	received = origin.next(t)
	facts, err := wire.ParseFacts([]byte(received.facts))
	if err != nil || facts.WaitMilliseconds > 5000-lateMS || facts.WaitMilliseconds < 1000 || string(facts.Tenant) != "x" ||
		received.id != "missed" {
		t.Errorf("%q of %s: %v", received.facts, received.id, err)
	}
}
