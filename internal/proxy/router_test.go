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

// A panic in one call is counted and ends there: the goroutine goes on with the next call.
func TestPanicInCallDoesNotStopActor(t *testing.T) {
	router := newTestRouter()
	go router.Run()
	done := make(chan struct{})
	router.mailbox.post(func() { panic("odd") })
	router.mailbox.post(func() { close(done) })
	<-done
	if n := router.counters.Panics.Load(); n != 1 {
		t.Errorf("%d panics counted", n)
	}
}

// What has ended holds no value any more: capacity is counted as if it did not, and 64 KiB for each slot and each
// request would be more than the memory.
func TestFinishedRequestReleasesValues(t *testing.T) {
	router := newTestRouter()
	s := requestSlot{
		request: &request{}, attempts: []*attempt{{request: &request{value: make([]byte, 9)}}}, finished: true,
	}
	router.slots = append(router.slots, s)
	router.releaseSlot(0)
	if s.attempts[0] != nil || len(router.freeSlots) != 1 {
		t.Error("a free slot holds its last attempt")
	}

	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }() // ends with the test
	c := &clientConn{
		listener: &Listener{counters: router.counters, router: router}, conn: near, reader: bufio.NewReader(near),
	}
	c.pending = []*request{{ready: true, header: crlf}, {conn: c}}
	pending := c.pending
	if err := c.flush(); err != nil || len(c.pending) != 1 || pending[1] != nil {
		t.Errorf("a connection holds a request whose reply is written: %v", err)
	}
}

// Hosts that are replaced all day by others under new names leave nothing behind: neither indices nor goroutines.
func TestDepartedHostsAreRemoved(t *testing.T) {
	router := newTestRouter()
	router.settings.LongestTimeout = 30
	target := func(i int) wire.Endpoint {
		return wire.Endpoint{Name: fmt.Sprint("c", i), Address: "127.0.0.1:1", Ready: true}
	}
	router.updateEndpoints(endpointUpdate{whole: true, origin: listKnownAtStart, targets: []wire.Endpoint{target(0), target(1)}})
	before := runtime.NumGoroutine()
	for i := 2; i < 60; i++ {
		gone := target(i - 2)
		gone.Ready, gone.Departed = false, true
		router.updateEndpoints(endpointUpdate{targets: []wire.Endpoint{gone, target(i)}})
		time.Sleep(4 * time.Millisecond)
	}
	if len(router.hostIndex) > 5 || len(router.hosts) > 5 {
		t.Errorf("%d names, %d indices", len(router.hostIndex), len(router.hosts))
	}
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
	// What a whole list does not name has departed.
	router.updateEndpoints(endpointUpdate{whole: true, targets: []wire.Endpoint{target(58), target(59)}})
	router.updateEndpoints(endpointUpdate{targets: []wire.Endpoint{target(58)}})
	if router.hosts[router.hostIndex["c59"]].departedAt != 0 || router.hosts[router.hostIndex["c58"]].departedAt != 0 {
		t.Error("a host that is listed counts as departed")
	}
}

// The clock counts tenths of a millisecond of Unix time, as the endpoint list's starting times do.
func TestClockCountsUnixTenthsOfMillisecond(t *testing.T) {
	c := NewClock()
	if got, want := c.Now(), balancer.Time(c.base.UnixMilli()*10); got < want || got > want+secondTicks {
		t.Errorf("%d at %d", got, want)
	}
}

// Requests that wait for longer than the process lives are answered before it ends.
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
		t.Errorf("%q, %v", line, err)
	}
}
