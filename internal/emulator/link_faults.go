package emulator

import (
	"path"
	"strings"
	"time"
)

// lossyMaxDelay is the maximum delay of datagrams under a fault of kind lossy.
const lossyMaxDelay = 60 * time.Millisecond

// affectedNames returns the names of the processes on the affected side of a fault: its target proxies and, if the fault
// affects a zone, the caches of the zone.
func (r *runner) affectedNames(event FaultEvent) map[string]bool {
	affected := map[string]bool{}
	for _, i := range event.Targets {
		affected[proxyName(i)] = true
	}
	if event.Zone != "" {
		for _, name := range r.cluster.nodesInZone(event.Zone) {
			affected[name] = true
		}
	}
	return affected
}

// linkFaultOf returns the effect of a fault on links. Links to the origin and to a proxy's own discovery agent are affected
// only by a fault that names them.
func (r *runner) linkFaultOf(event FaultEvent) linkFault {
	affected := r.affectedNames(event)
	mayAffect := func(name string) bool {
		return name == "" || strings.HasPrefix(name, "n") || event.Zone != "" && strings.HasPrefix(name, "c")
	}
	fault := linkFault{lossRate: 1, resetStreams: event.ResetStreams}
	switch event.Kind {
	case "one-way":
		fault.affects = func(from, to string) bool { return affected[from] && !affected[to] && mayAffect(to) }
	case "link":
		fault.lossRate, fault.duplicateRate, fault.maxDelay = event.Fraction, min(event.Fraction, 1-event.Fraction)/3, millis(event.MaxDelayMS)
		fault.affects = func(from, to string) bool {
			return matchesAny(event.From, from) && matchesAny(event.To, to) ||
				!event.OneWay && matchesAny(event.To, from) && matchesAny(event.From, to)
		}
	case "lossy":
		fault.lossRate, fault.duplicateRate, fault.maxDelay = min(event.Fraction, 0.99), event.Fraction/3, lossyMaxDelay
		fault.affects = func(from, to string) bool { return strings.HasPrefix(from, "n") && strings.HasPrefix(to, "n") }
	default:
		fault.affects = func(from, to string) bool { return affected[from] != affected[to] && mayAffect(from) && mayAffect(to) }
	}
	return fault
}

// matchesAny reports whether one of the patterns matches a name. The name "" matches any pattern.
func matchesAny(patterns []string, name string) bool {
	for _, p := range patterns {
		if ok, _ := path.Match(p, name); ok || name == "" { // Scenario.Check has validated the patterns
			return true
		}
	}
	return false
}
