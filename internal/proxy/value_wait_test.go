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
	"woodproxy/internal/wire"
)

const longValueHead = wire.MaxBufferedValue + 1 // bytes; announced by the tests below

// shortObjective sets the latency objective to 300 ms.
func shortObjective(config *balancer.Settings) {
	for i := range config.Routes {
		config.Routes[i].Objective = 300 * ticksPerMillisecond
	}
	config.MayCancel = true
}

// sendHeadOfLongValue has a cache send the head of a long value to the request of a client, and nothing of the value.
func sendHeadOfLongValue(t *testing.T) (p *testProxy, client net.Conn, command receivedCommand) {
	t.Helper()
	cache, origin := newCache(t), newOrigin(t)
	p = newTestProxy(t, 10, shortObjective, cache, origin)
	client = p.dial()
	send(t, client, getCommand("id1", longWaitMS))
	command = cache.next(t)
	send(t, command.conn, fmt.Sprintf("*3\r\n$%d\r\n", longValueHead))
	return p, client, command
}

// A response that breaks off between its head and its value, before the request is out of time, is replaced by that of
// another attempt.
func TestResponseWithoutValueIsReplaced(t *testing.T) {
	owner, other, origin := newCache(t), newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, shortObjective, owner, other, origin)
	client := p.dial()
	send(t, client, getCommand("id1", longWaitMS))
	var first receivedCommand
	select {
	case first = <-owner.commands:
	case first = <-other.commands:
		other = owner
	case <-time.After(time.Second):
		t.Fatal("no cache received the command")
	}
	send(t, first.conn, fmt.Sprintf("*3\r\n$%d\r\n", longValueHead))
	time.Sleep(100 * time.Millisecond)
	resetOnClose(t, first.conn)
	closeConn(t, first.conn)
	other.next(t).sendValue(t)
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
		t.Errorf("got %q, error %v, want the value of the second attempt", line, err)
	}
}

// Guards against an order to begin the reply that goes to a hedged attempt that has ended: the origin rejects two of them while
// the cache is between the head and the value of its response, and the reply begins with that head.
func TestReplyBeginsInTimeBehindRejectedHedges(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, func(config *balancer.Settings) {
		config.MayCancel, config.ParallelAttempts = true, true
		config.Routes[0].Objective = 600 * ticksPerMillisecond
		config.Routes[1].Objective, config.Routes[1].Timeout = 1000, 2000 // an attempt is late after 0.1 s
	}, cache, origin)
	client := p.dial()
	send(t, client, getCommand("id1", longWaitMS))
	send(t, cache.next(t).conn, fmt.Sprintf("*3\r\n$%d\r\n", longValueHead))
	for range 2 {
		send(t, origin.next(t).conn, "HTTP/1.1 503 Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	expectReply(t, client, fmt.Sprintf("$%d\r\n", longValueHead))
}

// A response that breaks off after its head was delivered ends the client's connection, so that the client can tell that
// its reply is not complete.
func TestDeliveredResponseWithoutValueEndsConnection(t *testing.T) {
	p, client, command := sendHeadOfLongValue(t)
	reader := bufio.NewReader(client)
	if line, err := reader.ReadString('\n'); line != fmt.Sprintf("$%d\r\n", longValueHead) {
		t.Fatalf("got %q, error %v, want the head of the value", line, err)
	}
	closeConn(t, command.conn)
	if rest, err := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("got %d more bytes, error %v, want the end of the connection", len(rest), err)
	}
	p.eventually("the stream is not counted as broken", func() bool { return p.router.counters.Broken.Load() == 1 })
}

// A client that leaves while its value is awaited ends the attempt.
func TestDepartedClientEndsValueWait(t *testing.T) {
	p, client, _ := sendHeadOfLongValue(t)
	closeConn(t, client)
	p.eventually("the attempt is still in flight", func() bool {
		return p.router.counters.Passing.Load() == 0 && p.router.counters.UpstreamOpen.Load() == 0
	})
}

// sendHeadWhileStopping has a cache send the head of a long value, and nothing of the value, to a proxy that stops.
func sendHeadWhileStopping(t *testing.T, remaining time.Duration) (client net.Conn, command receivedCommand) {
	t.Helper()
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, shortObjective, cache, origin)
	client = p.dial()
	p.router.FinishWithin(remaining)
	send(t, client, getCommand("id1", longWaitMS))
	command = cache.next(t)
	send(t, command.conn, fmt.Sprintf("*3\r\n$%d\r\n", longValueHead))
	return client, command
}

// Guards against a reply that the end of the process cuts off: a proxy that stops begins no reply with the head of a
// response whose value has not come, and rejects the request in time.
func TestStoppingProxyBeginsNoReplyWithoutValue(t *testing.T) {
	client, _ := sendHeadWhileStopping(t, 600*time.Millisecond)
	if err := client.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(client).ReadString('\n'); !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("got %q, error %v, want -BUSY", line, err)
	}
}

// A value that comes after the latency objective, while the proxy stops, is delivered.
func TestStoppingProxyDeliversLateValue(t *testing.T) {
	client, command := sendHeadWhileStopping(t, 2*time.Second)
	time.Sleep(500 * time.Millisecond)
	send(t, command.conn, "v")
	expectReply(t, client, fmt.Sprintf("$%d\r\n", longValueHead))
}
