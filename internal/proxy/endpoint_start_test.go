package proxy

import (
	"fmt"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// startOf returns the start time of the endpoint "new" that is passed to the balancer.
func startOf(r *Router) balancer.Time {
	return r.listing(r.hosts[r.hostIndex["new"]]).StartedAt
}

// updateStart updates a router with an endpoint that started at a wall-clock time. The zero time means long ago.
func updateStart(r *Router, name string, startedAt time.Time) {
	since := int64(0)
	if !startedAt.IsZero() {
		since = startedAt.UnixMilli()
	}
	r.updateEndpoints(endpointUpdate{endpoints: []wire.Endpoint{
		{Name: name, Address: "127.0.0.1:1", Kind: "std", Ready: true, Weight: 1, StartedAtUnixMilli: since},
	}})
}

// newRouterWithList returns a router that is not running, with one endpoint and the first message of discovery applied.
func newRouterWithList() *Router {
	r := newTestRouter()
	r.updateEndpoints(endpointUpdate{complete: true, source: listKnownAtStart, endpoints: []wire.Endpoint{
		{Name: "old", Address: "127.0.0.1:1", Kind: "std", Ready: true, Weight: 1},
	}})
	updateStart(r, "old", time.Time{}) // discovery's first message
	return r
}

// The start of an endpoint that is reported while the proxy runs is timed by the proxy's monotonic clock, regardless of
// the difference between the wall clocks of the server and the proxy. Otherwise its slow start could be over before it
// began, or last for as long as the clocks differ.
func TestStartIsTimedByMonotonicClock(t *testing.T) {
	const tolerance = balancer.Time(secondTicks)
	for _, skew := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(fmt.Sprint(skew), func(t *testing.T) {
			r := newRouterWithList()
			now := r.clock.Now()
			updateStart(r, "new", time.Now().Add(skew))
			if at := startOf(r); at < now-tolerance || at > r.clock.Now() {
				t.Errorf("got start of a new endpoint %v after now, want now", duration(at-now))
			}
			first := startOf(r)
			updateStart(r, "new", time.Now().Add(skew+time.Second))
			if at := startOf(r); at < first || at > r.clock.Now() {
				t.Errorf("got start of a restarted endpoint %v after now, want a time from its first start to now", duration(at-now))
			}
		})
	}
}

// A server that restarts after its wall clock was set back by an hour is in slow start again.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	r := newRouterWithList()
	updateStart(r, "new", time.Now())
	first := startOf(r)
	time.Sleep(2 * time.Millisecond)
	updateStart(r, "new", time.Now().Add(-time.Hour))
	if second := startOf(r); second <= first {
		t.Errorf("got start %d after a restart, want later than the previous start %d", second, first)
	}
}

// A repeated report of the same start does not begin another slow start, and neither does a report without a start time.
func TestSameStartIsNotAnother(t *testing.T) {
	r := newRouterWithList()
	at := time.Now()
	updateStart(r, "new", at)
	first := startOf(r)
	time.Sleep(2 * time.Millisecond)
	updateStart(r, "new", at)
	updateStart(r, "new", time.Time{})
	updateStart(r, "new", at)
	if again := startOf(r); again != first {
		t.Errorf("got start %d after repeated reports, want %d", again, first)
	}
}

// The age of an endpoint that started before this process is taken from the wall clock, and is never negative.
func TestStartBeforeThisProcess(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, 0, 3 * time.Second, time.Hour} {
		r := newTestRouter()
		r.updateEndpoints(endpointUpdate{complete: true, source: listKnownAtStart, endpoints: []wire.Endpoint{
			{Name: "new", Address: "127.0.0.1:1", Ready: true, Weight: 1, StartedAtUnixMilli: time.Now().Add(-age).UnixMilli()},
		}})
		got := duration(r.clock.Now() - startOf(r))
		if want := max(age, 0); got < want || got > want+time.Second {
			t.Errorf("got age %v, want %v", got, want)
		}
	}
}
