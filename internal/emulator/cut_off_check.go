package emulator

import "time"

// cutOffCheck checks CutOffRule.
type cutOffCheck struct {
	*findings
	breaksConns bool // a fault breaks the proxies' own connections
	processes   *processHistory
	cutOff      []Event                          // responses whose connection a proxy closed
	arrivals    map[arrivedAttempt]time.Duration // times of the latest attempts
	outcomes    map[string]string                // outcome of the final reply, by request
}

func newCutOffCheck(found *findings, processes *processHistory, scenario *Scenario) cutOffCheck {
	return cutOffCheck{
		findings: found, processes: processes, breaksConns: scenario.breaksConns(), arrivals: map[arrivedAttempt]time.Duration{},
		outcomes: map[string]string{},
	}
}

// arrivedAttempt identifies an attempt that a node has received.
type arrivedAttempt struct {
	id   string
	node proxyNode
}

func (c *cutOffCheck) observeArrival(e Event) {
	c.arrivals[arrivedAttempt{e.RequestID, proxyNode{e.Proxy, e.Node}}] = e.At
}

func (c *cutOffCheck) observeReply(e Event) { c.outcomes[e.RequestID] = e.Note }

// checkAll reports, after the last event, the responses that were cut off and whose requests were rejected or failed instead
// of being completed by another attempt.
func (c *cutOffCheck) checkAll() {
	if c.breaksConns {
		return
	}
	for _, e := range c.cutOff {
		arrivedAt := c.arrivals[arrivedAttempt{e.RequestID, proxyNode{e.Proxy, e.Node}}]
		if c.processes.ended(e.Proxy, arrivedAt, e.At) {
			continue // the node was still to write when the process ended
		}
		if outcome := c.outcomes[e.RequestID]; outcome == string(Rejected) || outcome == string(Failed) {
			c.violate(CutOffRule, e, "proxy %d cut off the response of %s to request %s, which was %s", e.Proxy, e.Node, e.RequestID, outcome)
		}
	}
}
