package emulator

import "time"

// requestsPerLate is how many requests there have to be for each late one in a run that counts as on time.
const requestsPerLate = 200

// Report is what came of a scenario.
type Report struct {
	Plan     *Plan
	Results  []Result
	Breaches []Violation
	Seen     []Seen
	LateMS   float64 // greatest lateness of the load generator, in milliseconds
	Ran      bool    // at most one request in two hundred was sent late
	CPU      float64 // of all proxies, microseconds a request; 0 where they are not processes

	// Of gossip.

	Whispers    []time.Duration // for each node announced to one proxy, until each other proxy had it, ascending
	Unheard     int             // how often a proxy never had such a node
	PeerBytes   float64         // sent and received, a second and proxy
	PeerPackets float64         // received, a second and proxy
	CatchUps    []time.Duration // from a process's start or continuation until it reported that it had caught up, ascending

	// Of zone health.

	Zones     []ZoneFaultResult
	Convicted int // verdicts that a zone is out where no fault explains it
	Hasty     int // zones that a proxy passed by standalone where no fault explains it

	ColdPeak    float64 // greatest load of a node in slow start, as a part of what overloads it
	Together    Together
	AbsentAsked float64 // look-ups a second at the origin of keys that it lacks
	AbsentSaid  float64 // answers a second to clients that there is no such key
	Returns     []RecoveryResult
	Stale       time.Duration // the longest for which a key was reported missing after it was written
	BadMute     int           // malformed requests that were neither answered with an error nor closed on
}

// buildReport calculates the report once the scenario has ended.
func (r *runner) buildReport() *Report {
	events := r.log.All()
	report := &Report{Plan: r.plan, Results: r.load.results, Seen: events, BadMute: int(r.unansweredBadClients.Load())}
	checked := checkInvariants(r.plan.Day, r.plan.Requests, events)
	report.Breaches, report.ColdPeak, report.Stale = checked.violations, checked.slowStart.peak, checked.absence.maxStaleness
	r.measureAbsentKeys(report, events)
	report.Returns = r.measureRecoveries()
	r.measureGossip(report)
	r.measureZoneHealth(report)
	report.Together = r.summarizeBackgroundLoad(events)
	report.CPU = float64(r.proxyCPU.Load()) / 1000 / float64(max(len(r.plan.Requests), 1))
	late := 0
	for _, e := range events {
		if e.What == Late {
			late++
			report.LateMS = max(report.LateMS, e.Figure)
		}
	}
	report.Ran = late*requestsPerLate <= len(r.plan.Requests)
	return report
}
