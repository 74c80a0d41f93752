package emulator

// effectCheck checks SingleEffectRule.
type effectCheck struct {
	*findings
	processes *processHistory
	runs      map[string]int // by idempotency key, or by request where it has none
	killed    map[string]int // by request, how often its proxy was killed under it
}

// observeClosed notes that a request's proxy was killed under it: the client asks again, and that a write without an
// idempotency key is carried out once more by that is not the proxies' doing.
func (c *effectCheck) observeClosed(e Event) {
	if c.processes.wasKilled(e.Proxy, e.At-killWindow, e.At+killWindow) {
		c.killed[e.RequestID]++
	}
}

func (c *effectCheck) observeWrite(e Event) {
	write := e.Note
	if write == "" {
		write = e.RequestID
	}
	if c.runs[write]++; c.runs[write] > 1+c.killed[write] {
		c.violate(SingleEffectRule, e, "write %s was carried out %d times", write, c.runs[write])
	}
}
