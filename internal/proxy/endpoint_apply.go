package proxy

import (
	"time"

	"woodproxy/internal/wire"
)

// The router applies a long list in steps of maxHostsPerStep hosts, and returns to its other calls once the steps have
// taken listCallTime, so that requests do not wait for a complete list.
const (
	maxHostsPerStep = 4
	listCallTime    = 200 * time.Microsecond
)

// updateRouter passes a change of the list to the router in parts and waits until it is applied. Requests that arrive
// meanwhile wait for one part at most.
func (l *EndpointList) updateRouter(update endpointUpdate) {
	r, isFirst := l.router, false
	l.callRouter(func() {
		if isFirst = len(r.hosts) == 0; isFirst {
			r.updateEndpoints(update)
			return
		}
		r.beginUpdate()
	})
	if isFirst {
		return
	}
	applyInSteps(l, update.endpoints, func(endpoints []wire.Endpoint) { r.updateHosts(endpoints, update.source) })
	if update.complete {
		var unlisted []*upstreamHost
		l.callRouter(func() { unlisted = r.unlistedHosts() })
		applyInSteps(l, unlisted, r.departHosts)
	}
	l.callRouter(r.updateDutyNodes)
}

// applyInSteps calls apply for all elements on the router's goroutine, for maxHostsPerStep elements at a time.
func applyInSteps[T any](l *EndpointList, elements []T, apply func([]T)) {
	for len(elements) > 0 {
		remaining := elements
		elements = nil // ends the loop if the call panics
		l.callRouter(func() {
			for start := time.Now(); len(remaining) > 0 && time.Since(start) < listCallTime; {
				step := min(len(remaining), maxHostsPerStep)
				apply(remaining[:step])
				remaining = remaining[step:]
			}
			elements = remaining
		})
	}
}

// callRouter executes a call on the router's goroutine and waits until it returns.
func (l *EndpointList) callRouter(call func()) {
	done := make(chan struct{})
	l.router.mailbox.post(func() {
		defer close(done)
		call()
	})
	<-done
}
