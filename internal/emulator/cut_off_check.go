package emulator

// cutOffCheck checks CutOffRule.
type cutOffCheck struct {
	*findings
	breaksConns bool              // a fault breaks the proxies' own connections
	cutOff      []Event           // responses whose connection a proxy closed
	outcomes    map[string]string // outcome of the final reply, by request
}

func (c *cutOffCheck) observeReply(e Event) { c.outcomes[e.RequestID] = e.Note }

// checkAll reports, after the last event, the responses that were cut off and whose requests were rejected or failed instead
// of being completed by another attempt.
func (c *cutOffCheck) checkAll() {
	if c.breaksConns {
		return
	}
	for _, e := range c.cutOff {
		if outcome := c.outcomes[e.RequestID]; outcome == string(Rejected) || outcome == string(Failed) {
			c.violate(CutOffRule, e, "proxy %d cut off the response of %s to request %s, which was %s", e.Proxy, e.Node, e.RequestID, outcome)
		}
	}
}
