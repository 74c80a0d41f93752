package emulator

import "time"

// processCheck checks the rules on proxy processes, from their own reports and from observations of the emulator.
type processCheck struct {
	*findings
	processes *processHistory
	nodes     int // caches
}

// maxGoroutines returns the maximum number of goroutines of a proxy at the end of a scenario, when all clients have left:
// 100 for the process, and 8 for each node and its idle connections.
func (p *processCheck) maxGoroutines() float64 { return 100 + 8*float64(p.nodes) }

func (p *processCheck) observe(e Event) {
	switch e.Kind {
	case ProcessNotReady:
		p.violate(ReadyRule, e, "proxy %d is not ready %v after its start", e.Proxy, readyTimeout)
	case LogReported:
		if e.Note == noteExcused {
			return
		}
		p.violate(InvariantRule, e, "proxy %d has logged %q %.0f times", e.Proxy, e.Note, e.Figure)
	case BadClientIgnored:
		if !p.processes.wasPaused(e.Proxy, e.At-malformedTimeout, e.At) && !p.processes.wasKilled(e.Proxy, e.At-malformedTimeout-killWindow, e.At+killWindow) {
			p.violate(BadClientRule, e, "proxy %d neither sent an error to a bad client nor closed its connection: %s", e.Proxy, e.Note)
		}
	case LimitExceeded:
		rule := MemoryRule
		if e.Note == limitDescriptors {
			rule = DescriptorRule
		}
		p.violate(rule, e, "proxy %d used %.0f %s, over its limit, and was killed", e.Proxy, e.Figure, e.Note)
	case ProcessHung:
		if span := time.Duration(e.Figure * float64(time.Second)); !p.processes.wasPaused(e.Proxy, e.At-span, e.At) {
			p.violate(HungRule, e, "proxy %d did not reply to pings for %v", e.Proxy, span)
		}
	case CommandInvented:
		p.violate(InventedRule, e, "node %s has received %s, which no client has sent", e.Node, e.Note)
	case CounterReported:
		limit := 0.0
		switch e.Note {
		case counterGoroutines:
			limit = p.maxGoroutines()
		case counterViolations:
			limit = p.processes.excused[e.Proxy]
		}
		if e.Figure > limit {
			p.violate(ResidueRule, e, "proxy %d: %s is %.0f at the end, limit %.0f", e.Proxy, e.Note, e.Figure, limit)
		}
	}
}
