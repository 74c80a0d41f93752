package emulator

import "time"

// promptSurplusDelay is the delay up to which a surplus response must never be taken for the response to another request.
const promptSurplusDelay = 50 * time.Millisecond

// ownValueCheck checks OwnValueRule.
type ownValueCheck struct {
	*findings
	lateSurplus bool               // nodes may send surplus responses that are later than promptSurplusDelay
	foreign     map[proxyNode]bool // proxies that have passed on a value of a node to another request
}

// sendsLateSurplus reports whether a fault of the scenario sends surplus responses later than promptSurplusDelay.
func (d *Scenario) sendsLateSurplus() bool {
	for _, fault := range d.Faults {
		if fault.Kind == "surplus" && millis(fault.MaxDelayMS) > promptSurplusDelay {
			return true
		}
	}
	return false
}

// observeValue checks that the value of a reply, which was made by the node e.Node, was made for its request. A late surplus
// response can't be told from the response to the next request, so that each proxy process may be deceived once by each node.
func (c *ownValueCheck) observeValue(e Event) {
	if e.MadeFor == e.RequestID {
		return
	}
	from := proxyNode{e.Proxy, e.Node}
	if c.lateSurplus && !c.foreign[from] {
		c.foreign[from] = true
		return
	}
	c.violate(OwnValueRule, e, "request %s received a value of node %q made for %q", e.RequestID, e.Node, e.MadeFor)
}

// observeProcessEnd forgets what happened to a proxy process that has ended.
func (c *ownValueCheck) observeProcessEnd(proxy int) {
	for from := range c.foreign {
		if from.proxy == proxy {
			delete(c.foreign, from)
		}
	}
}
