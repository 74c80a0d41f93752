package proxy

import (
	"fmt"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// startOf returns when the balancer is told that the endpoint "new" started.
func startOf(r *Router) balancer.Time {
	return r.listing(r.hosts[r.hostIndex["new"]]).StartedAt
}

// notifyStart tells a router of an endpoint that started at a wall-clock time.
func notifyStart(r *Router, name string, startedAt time.Time) {
	since := int64(0)
	if !startedAt.IsZero() {
		since = startedAt.UnixMilli()
	}
	r.updateEndpoints(endpointUpdate{targets: []wire.Endpoint{
		{Name: name, Address: "127.0.0.1:1", Kind: "std", Ready: true, Weight: 1, StartedAtUnixMilli: since},
	}})
}

// newRouterWithList returns a router that is not running and knows one endpoint, with discovery's first list taken.
func newRouterWithList() *Router {
	r := newTestRouter()
	r.updateEndpoints(endpointUpdate{whole: true, origin: listKnownAtStart, targets: []wire.Endpoint{
		{Name: "old", Address: "127.0.0.1:1", Kind: "std", Ready: true, Weight: 1},
	}})
	notifyStart(r, "old", time.Time{}) // discovery's first message
	return r
}

// Wherever the wall clocks of servers and of this proxy stand to each other, an endpoint that is seen to start ages from
// then by the proxy's monotonic clock: its slow start is neither over before it began, nor lasts for as long as the
// clocks differ.
func TestStartIsTimedByMonotonicClock(t *testing.T) {
	const tolerance = balancer.Time(secondTicks)
	for _, skew := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(fmt.Sprint(skew), func(t *testing.T) {
			r := newRouterWithList()
			now := r.clock.Now()
			notifyStart(r, "new", time.Now().Add(skew))
			if at := startOf(r); at < now-tolerance || at > r.clock.Now() {
				t.Errorf("a new endpoint starts %v from now", duration(at-now))
			}
			first := startOf(r)
			notifyStart(r, "new", time.Now().Add(skew+time.Second))
			if at := startOf(r); at < first || at > r.clock.Now() {
				t.Errorf("one that restarts starts %v from now", duration(at-now))
			}
		})
	}
}

// A server restarts after its wall clock was set back by an hour: it is in slow start again.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	r := newRouterWithList()
	notifyStart(r, "new", time.Now())
	first := startOf(r)
	time.Sleep(2 * time.Millisecond)
	notifyStart(r, "new", time.Now().Add(-time.Hour))
	if second := startOf(r); second <= first {
		t.Errorf("started at %d, and before at %d", second, first)
	}
}

// The same start, told again, begins no other slow start, and neither does one that is told as long ago by now.
func TestSameStartIsNotAnother(t *testing.T) {
	r := newRouterWithList()
	at := time.Now()
	notifyStart(r, "new", at)
	first := startOf(r)
	time.Sleep(2 * time.Millisecond)
	notifyStart(r, "new", at)
	notifyStart(r, "new", time.Time{})
	notifyStart(r, "new", at)
	if again := startOf(r); again != first {
		t.Errorf("started at %d, and before at %d", again, first)
	}
}

// What started before this process is as old as the wall clock says, and never younger than none.
func TestStartBeforeThisProcess(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, 0, 3 * time.Second, time.Hour} {
		r := newTestRouter()
		r.updateEndpoints(endpointUpdate{whole: true, origin: listKnownAtStart, targets: []wire.Endpoint{
			{Name: "new", Address: "127.0.0.1:1", Ready: true, Weight: 1, StartedAtUnixMilli: time.Now().Add(-age).UnixMilli()},
		}})
		got := duration(r.clock.Now() - startOf(r))
		if want := max(age, 0); got < want || got > want+time.Second {
			t.Errorf("age %v, want %v", got, want)
		}
	}
}
