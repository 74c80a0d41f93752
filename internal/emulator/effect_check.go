package emulator

// effectCheck checks SingleEffectRule.
type effectCheck struct {
	*findings
	processes  *processHistory
	executions map[string]int // by idempotency key, or by request ID if the write has none
	kills      map[string]int // by request, number of times that its proxy was killed before it replied
}

// observeConnectionClosed records that the proxy of a request was killed before it replied. The client then sends the
// request again, and a write without an idempotency key is executed once more, which is not a fault of the proxies.
func (c *effectCheck) observeConnectionClosed(e Event) {
	if c.processes.wasKilled(e.Proxy, e.At-killWindow, e.At+killWindow) {
		c.kills[e.RequestID]++
	}
}

func (c *effectCheck) observeWrite(e Event) {
	write := e.Note
	if write == "" {
		write = e.RequestID
	}
	if c.executions[write]++; c.executions[write] > 1+c.kills[write] {
		c.violate(SingleEffectRule, e, "write %s was executed %d times", write, c.executions[write])
	}
}
