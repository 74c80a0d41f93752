package emulator

// effectCheck checks SingleEffectRule.
type effectCheck struct {
	*findings
	processes *processHistory
	executions      map[string]int // by idempotency key, or by request where it has none
	kills    map[string]int // by request, how often its proxy was killed under it
}

// observeClosed notes that a request's proxy was killed under it: the client asks again, and that a write without an
// idempotency key is carried out once more by that is not the proxies' doing.
func (c *effectCheck) observeClosed(e Event) {
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
		c.violate(SingleEffectRule, e, "write %s was carried out %d times", write, c.executions[write])
	}
}
