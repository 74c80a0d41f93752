package proxy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"woodproxy/internal/wire"
)

// fleetList returns a complete list of servers. The names of six in ten of them contain the generation.
func fleetList(servers, generation int) endpointUpdate {
	update := endpointUpdate{complete: true}
	for i := range servers {
		name := fmt.Sprint("c", i)
		if i%10 < 6 {
			name += fmt.Sprint("-", generation)
		}
		update.endpoints = append(update.endpoints, wire.Endpoint{Name: name, Address: "127.0.0.1:1", Ready: true, Weight: 1})
	}
	return update
}

// waitForRouter returns the 99th percentile of the time that calls wait for a router while it applies complete lists one
// after the other, each of which replaces six servers in ten.
func waitForRouter(t *testing.T, servers int) time.Duration {
	t.Helper()
	const testDuration, interval = 1500 * time.Millisecond, 200 * time.Microsecond
	router := newTestRouter()
	router.settings.LongestTimeout = 1 // frees the indices of departed servers at once
	go router.Run()
	list := NewEndpointList("", nil, router, 1, router.counters, zap.NewNop())
	list.updateRouter(fleetList(servers, 0))
	end, ended := time.Now().Add(testDuration), make(chan struct{})
	go func() {
		defer close(ended)
		for generation := 1; time.Now().Before(end); generation++ {
			list.updateRouter(fleetList(servers, generation))
		}
	}()
	var waits []time.Duration
	for {
		select {
		case <-ended:
			slices.Sort(waits)
			return waits[len(waits)*99/100]
		default:
		}
		posted, waited := time.Now(), make(chan time.Duration, 1)
		router.mailbox.post(func() { waited <- time.Since(posted) })
		waits = append(waits, <-waited)
		time.Sleep(interval)
	}
}

// A request that arrives while a long list is applied must not wait for all of it. It once did: the longer the list, the
// longer the wait.
func TestRequestsDoNotWaitForLongLists(t *testing.T) {
	usual, many := waitForRouter(t, 200), waitForRouter(t, 3200)
	t.Logf("wait at 200 servers: %v, at 3200: %v", usual, many)
	if many > 2*usual {
		t.Errorf("got a wait of %v at 3200 servers, want at most twice the %v at 200", many, usual)
	}
}
