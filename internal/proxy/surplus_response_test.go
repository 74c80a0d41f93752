package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
)

// respValue returns a cache's response with a value.
func respValue(value string) string { return fmt.Sprintf("*1\r\n$%d\r\n%s\r\n", len(value), value) }

// readReply reads the value of a reply to a client.
func readReply(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	line, err := reader.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	var length int
	if _, err := fmt.Sscanf(line, "$%d", &length); err != nil {
		return line
	}
	value := make([]byte, length+len(crlf))
	if _, err := io.ReadFull(reader, value); err != nil {
		t.Fatal(err)
	}
	return string(value[:length])
}

// Guards against a surplus response that is taken for the response to the next request: a cache sends a second response a
// few milliseconds after the first, when the next request has already been sent.
func TestSurplusResponseIsNotTakenForTheNext(t *testing.T) {
	cache := newCache(t)
	p := newTestProxy(t, 10, func(*balancer.Settings) {}, cache, newOrigin(t))
	client := p.dial()
	reader := bufio.NewReader(client)
	send(t, client, getCommand("first", 5000))
	first := cache.next(t)
	send(t, first.conn, respValue("one"))
	if got := readReply(t, reader); got != "one" {
		t.Fatalf("got %q for the first request, want its value", got)
	}
	send(t, client, getCommand("second", 5000))
	second := cache.next(t)
	send(t, first.conn, respValue("one"))
	send(t, second.conn, respValue("two"))
	if got := readReply(t, reader); got != "two" {
		t.Errorf("got %q for the second request, want its own value", got)
	}
}

// Guards against belief in the other connections of a server that has sent a surplus response: none that has carried a
// request is used again, and the response to an attempt that is in flight there is taken for nobody's.
func TestSurplusResponseDistrustsOtherConnections(t *testing.T) {
	cache, other := newCache(t), newCache(t)
	p := newTestProxy(t, 10, func(*balancer.Settings) {}, cache, other, newOrigin(t))
	probe := p.dial()
	send(t, probe, getCommand("owner", 5000))
	select {
	case received := <-cache.commands:
		received.sendValue(t)
	case received := <-other.commands:
		received.sendValue(t)
		cache, other = other, cache
	}
	readReply(t, bufio.NewReader(probe))
	clients := []net.Conn{p.dial(), p.dial()}
	var used []net.Conn
	for i, client := range clients {
		send(t, client, getCommand(fmt.Sprint("first", i), 5000))
		used = append(used, cache.next(t).conn)
	}
	for i, client := range clients {
		send(t, used[i], respValue("one"))
		readReply(t, bufio.NewReader(client))
	}
	time.Sleep(lifecycle.ResponseRest + 10*time.Millisecond)
	send(t, clients[0], getCommand("in-flight", 5000))
	inFlight := cache.next(t)
	idle := used[0]
	if inFlight.conn == idle {
		idle = used[1]
	}
	send(t, idle, respValue("one"))
	p.eventually("the server is not distrusted", func() bool { return p.router.counters.HostsDistrusted.Load() == 1 })
	send(t, inFlight.conn, respValue("wrong"))
	again := other.next(t)
	send(t, again.conn, respValue("two"))
	if got := readReply(t, bufio.NewReader(clients[0])); again.id != "in-flight" || got != "two" {
		t.Errorf("got %q for request %s, want the value of the retry", got, again.id)
	}
	var last net.Conn
	for _, id := range []string{"third", "fourth"} {
		send(t, clients[1], getCommand(id, 5000))
		next := cache.next(t)
		if next.conn == last || next.conn == idle || next.conn == inFlight.conn {
			t.Error("a connection of a distrusted server was used again")
		}
		last = next.conn
		send(t, last, respValue("three"))
		readReply(t, bufio.NewReader(clients[1]))
		time.Sleep(lifecycle.ResponseRest + 10*time.Millisecond)
	}
	if got := p.router.counters.Unattributed.Load(); got != 1 {
		t.Errorf("%d responses were taken for nobody's, want 1", got)
	}
}
