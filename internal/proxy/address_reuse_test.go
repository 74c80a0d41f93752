package proxy

import (
	"testing"

	"woodproxy/internal/wire"
)

// listed returns an entry of the endpoint list for a cache that accepts requests.
func listed(name, address string) wire.Endpoint {
	return wire.Endpoint{Name: name, Address: address, Kind: "std", Ready: true, Weight: 1}
}

// withStart returns an entry with a start time.
func withStart(endpoint wire.Endpoint, unixMilli int64) wire.Endpoint {
	endpoint.StartedAtUnixMilli = unixMilli
	return endpoint
}

// departed returns the entry that reports an endpoint's departure.
func departed(name string) wire.Endpoint { return wire.Endpoint{Name: name, Departed: true} }

// An endpoint that is listed at the address of another one is a new process there: the other one has gone, even if its
// departure is reported later. Requests for the other one went to the new process, which was still in slow start.
func TestEndpointAtReusedAddressSupersedesTheOther(t *testing.T) {
	const shared, other = "127.0.0.1:1", "127.0.0.1:2"
	type step []wire.Endpoint
	for name, test := range map[string]struct {
		steps []step
		ready map[string]bool
	}{
		"new endpoint at the address": {
			steps: []step{{listed("new", shared)}}, ready: map[string]bool{"old": false, "new": true, "far": true},
		},
		"the old entry is repeated": {
			steps: []step{{listed("new", shared)}, {listed("old", shared)}}, ready: map[string]bool{"old": false, "new": true},
		},
		"the old one departs": {
			steps: []step{{listed("new", shared)}, {departed("old")}}, ready: map[string]bool{"old": false, "new": true},
		},
		"the old one moves": {
			steps: []step{{listed("new", shared)}, {listed("old", "127.0.0.1:3")}}, ready: map[string]bool{"old": true, "new": true},
		},
		"the old one starts anew at the address": {
			steps: []step{{listed("new", shared)}, {withStart(listed("old", shared), 5)}}, ready: map[string]bool{"old": true, "new": false},
		},
		"the new one departs": {
			steps: []step{{listed("new", shared)}, {departed("new")}}, ready: map[string]bool{"old": true, "new": false},
		},
		"the new one moves": {
			steps: []step{{listed("new", shared)}, {listed("new", "127.0.0.1:4")}}, ready: map[string]bool{"old": true, "new": true},
		},
		"another one moves to the address": {
			steps: []step{{listed("far", shared)}}, ready: map[string]bool{"old": false, "far": true},
		},
		"three in a row": {
			steps: []step{{listed("new", shared)}, {listed("newer", shared)}}, ready: map[string]bool{"old": false, "new": false, "newer": true},
		},
		"the old one departs and is listed again": {
			steps: []step{{listed("new", shared)}, {departed("old")}, {listed("old", shared)}}, ready: map[string]bool{"old": true, "new": false},
		},
		"one that was not listed departs": {
			steps: []step{{departed("none")}}, ready: map[string]bool{"old": true, "far": true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter()
			r.updateEndpoints(endpointUpdate{
				complete: true, source: listKnownAtStart, endpoints: []wire.Endpoint{listed("old", shared), listed("far", other)},
			})
			for _, change := range test.steps {
				r.updateEndpoints(endpointUpdate{endpoints: change})
			}
			for name, want := range test.ready {
				h := r.hosts[r.hostIndex[name]]
				if got := h.ready.Load(); got != want || r.listing(h).Ready != want {
					t.Errorf("%s: got ready %v, listed ready %v, want %v", name, got, r.listing(h).Ready, want)
				}
			}
		})
	}
}
