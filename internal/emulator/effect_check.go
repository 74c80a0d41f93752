package emulator

// effectCheck checks SingleEffectRule.
type effectCheck struct {
	*findings
	runs map[string]int // by idempotency key, or by request where it has none
}

func (c *effectCheck) observeWrite(e Event) {
	write := e.Note
	if write == "" {
		write = e.RequestID
	}
	if c.runs[write]++; c.runs[write] > 1 {
		c.violate(SingleEffectRule, e, "write %s was carried out %d times", write, c.runs[write])
	}
}
