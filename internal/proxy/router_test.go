package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// A panic in a call is counted and recovered, and the goroutine continues with the next call.
func TestPanicInCallDoesNotStopActor(t *testing.T) {
	router := newTestRouter()
	go router.Run()
	done := make(chan struct{})
	router.mailbox.post(func() { panic("odd") })
	router.mailbox.post(func() { close(done) })
	<-done
	if n := router.counters.Panics.Load(); n != 1 {
		t.Errorf("got %d panics counted, want 1", n)
	}
}

// Finished requests must not retain their values. The value memory does not count them any more, and 64 KiB for each
// slot and each request would exceed the memory.
func TestFinishedRequestReleasesValues(t *testing.T) {
	router := newTestRouter()
	s := requestSlot{
		request: &request{}, attempts: []*attempt{{request: &request{value: make([]byte, 9)}}}, finished: true,
	}
	router.slots = append(router.slots, s)
	router.releaseSlot(0)
	if s.attempts[0] != nil || len(router.freeSlots) != 1 {
		t.Error("a free slot retains its last attempt")
	}

	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }() // ends with the test
	c := &clientConn{
		listener: &Listener{counters: router.counters, router: router}, conn: near, reader: bufio.NewReader(near),
	}
	c.pending = []*request{{conn: c, ready: true, clientReply: clientReply{header: crlf}}, {conn: c}}
	pending := c.pending
	if err := c.flush(); err != nil || len(c.pending) != 1 || pending[1] != nil {
		t.Errorf("a connection retains a request whose reply is written: %v", err)
	}
}

// Hosts that are continually replaced by others with new names must not leak indices or goroutines.
func TestDepartedHostsAreRemoved(t *testing.T) {
	router := newTestRouter()
	router.settings.LongestTimeout = 30
	endpoint := func(i int) wire.Endpoint {
		return wire.Endpoint{Name: fmt.Sprint("c", i), Address: "127.0.0.1:1", Ready: true}
	}
	router.updateEndpoints(endpointUpdate{complete: true, source: listKnownAtStart, endpoints: []wire.Endpoint{endpoint(0), endpoint(1)}})
	before := runtime.NumGoroutine()
	for i := 2; i < 60; i++ {
		departed := endpoint(i - 2)
		departed.Ready, departed.Departed = false, true
		router.updateEndpoints(endpointUpdate{endpoints: []wire.Endpoint{departed, endpoint(i)}})
		time.Sleep(4 * time.Millisecond)
	}
	if len(router.hostIndex) > 5 || len(router.hosts) > 5 {
		t.Errorf("got %d names and %d indices, want at most 5 of each", len(router.hostIndex), len(router.hosts))
	}
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("got %d goroutines, want at most 5 more than the %d at the start", n, before)
	}
	// A listed host does not count as departed, neither in a complete list nor after an update with another host.
	router.updateEndpoints(endpointUpdate{complete: true, endpoints: []wire.Endpoint{endpoint(58), endpoint(59)}})
	router.updateEndpoints(endpointUpdate{endpoints: []wire.Endpoint{endpoint(58)}})
	if router.hosts[router.hostIndex["c59"]].departedAt != 0 || router.hosts[router.hostIndex["c58"]].departedAt != 0 {
		t.Error("a listed host counts as departed")
	}
}

// The clock counts tenths of a millisecond of Unix time, so that start times of the endpoint list can be converted.
func TestClockCountsUnixTenthsOfMillisecond(t *testing.T) {
	c := NewClock()
	if got, want := c.Now(), balancer.Time(c.base.UnixMilli()*10); got < want || got > want+secondTicks {
		t.Errorf("got %d, want %d", got, want)
	}
}

// Requests whose client waits beyond the end of the process get their replies before the end.
func TestPendingRequestsAnsweredBeforeShutdown(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	client := p.dial()
	send(t, client, getCommand("long", longWaitMS))
	cache.next(t)
	p.router.FinishWithin(200 * time.Millisecond)
	if err := client.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(client).ReadString('\n'); !strings.HasPrefix(line, "-BUSY") {
		t.Errorf("got reply %q, error %v, want -BUSY", line, err)
	}
}

// Guards against taking the time that is left until the process ends for that of a client's retry: the latency objective of
// a request that arrives while the proxy stops would be nearly over, and the request rejected before its response.
func TestRequestWhileStoppingIsNoRetry(t *testing.T) {
	const timeoutMS = 1000
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, func(config *balancer.Settings) {
		config.Routes[0].Objective, config.Routes[0].Timeout = 700*ticksPerMillisecond, timeoutMS*ticksPerMillisecond
	}, cache, origin)
	client := p.dial()
	send(t, client, getCommand("before", timeoutMS))
	cache.next(t).sendValue(t)
	expectReply(t, client, "$5\r\nvalue\r\n")
	p.router.FinishWithin(500 * time.Millisecond)
	send(t, client, getCommand("after", timeoutMS))
	command := cache.next(t)
	time.Sleep(300 * time.Millisecond)
	command.sendValue(t)
	expectReply(t, client, "$5\r\nvalue\r\n")
}
