package emulator

// effectCheck checks SingleEffectRule, ResendRule and RefusedEffectRule.
type effectCheck struct {
	*findings
	processes  *processHistory
	routes     map[string]Route // by request
	executions map[string]int   // by idempotency key, or by request ID if the request has none
	kills      map[string]int   // by request, number of times that its proxy was killed before it replied
	open       map[string]int   // by request, number of its attempts that a node received and did not refuse
	rejected   map[string]bool  // requests that were rejected
}

// mustNotRepeat reports whether requests of the route must not be executed twice, and nodes do not drop repeats.
func (r Route) mustNotRepeat() bool { return r.Unsafe || r.Write && r.DedupMS == 0 }

// observeRequest forgets the attempts of a request that its client sends again, which is another process's request to it.
func (c *effectCheck) observeRequest(e Event) { delete(c.open, e.RequestID) }

// observeArrival checks that an attempt does not follow one that may have been executed.
func (c *effectCheck) observeArrival(e Event) {
	if !c.routes[e.RequestID].mustNotRepeat() {
		return
	}
	if c.open[e.RequestID] > 0 && c.kills[e.RequestID] == 0 {
		c.violate(ResendRule, e, "node %s received request %s while an earlier attempt may run or has run", e.Node, e.RequestID)
	}
	c.open[e.RequestID]++
}

func (c *effectCheck) observeRefusal(e Event) { c.open[e.RequestID]-- }

// observeReply checks that a request that was executed is not rejected.
func (c *effectCheck) observeReply(e Event) {
	if e.Note != string(Rejected) || !c.routes[e.RequestID].mustNotRepeat() {
		return
	}
	c.rejected[e.RequestID] = true
	c.checkRejected(e)
}

// checkRejected checks that a request is not both rejected and executed.
func (c *effectCheck) checkRejected(e Event) {
	if c.rejected[e.RequestID] && c.executions[e.RequestID] > 0 && c.kills[e.RequestID] == 0 {
		c.violate(RefusedEffectRule, e, "request %s was executed and rejected", e.RequestID)
	}
}

// observeConnectionClosed records that the proxy of a request was killed before it replied. The client then sends the
// request again, and a write without an idempotency key is executed once more, which is not a fault of the proxies.
func (c *effectCheck) observeConnectionClosed(e Event) {
	if c.processes.wasKilled(e.Proxy, e.At-killWindow, e.At+killWindow) {
		c.kills[e.RequestID]++
	}
}

// observeExecution checks that a request is executed once.
func (c *effectCheck) observeExecution(e Event) {
	effect := e.Note
	if effect == "" {
		effect = e.RequestID
	}
	if c.executions[effect]++; c.executions[effect] > 1+c.kills[effect] {
		c.violate(SingleEffectRule, e, "request %s was executed %d times", effect, c.executions[effect])
	}
	c.checkRejected(e)
}
