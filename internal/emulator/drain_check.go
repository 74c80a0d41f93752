package emulator

import (
	"time"
)

// drainCheck checks DrainRule.
type drainCheck struct {
	*findings
	processes     *processHistory
	drainingSince map[proxyNode]time.Duration // time at which a proxy was notified of a drain that has not ended
	grace         time.Duration
}

func (d *drainCheck) observeDelivery(e Event) {
	node := proxyNode{e.Proxy, e.Node}
	if e.Note == statusActive {
		delete(d.drainingSince, node)
	} else if _, draining := d.drainingSince[node]; !draining {
		d.drainingSince[node] = e.At
	}
}

func (d *drainCheck) observeArrival(e Event) {
	since, draining := d.drainingSince[proxyNode{e.Proxy, e.Node}]
	if !draining {
		return
	}
	p := d.processes.pauses[e.Proxy]
	for i := 0; i+1 < len(p); i += 2 { // a paused process reads a notification only when it continues
		if since >= p[i]-d.grace && since <= p[i+1] {
			since = max(since, p[i+1])
		}
	}
	if e.At > since+d.grace+timingSlack {
		d.violate(DrainRule, e, "node %s received request %s from proxy %d %v after the proxy was notified of the drain", e.Node, e.RequestID, e.Proxy, e.At-since)
	}
}
