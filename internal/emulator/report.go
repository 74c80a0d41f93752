package emulator

import "time"

// requestsPerLateSend is how many requests there have to be for each late one in a run that counts as on time.
const requestsPerLateSend = 200

// Report is what came of a scenario.
type Report struct {
	Plan                *Plan
	Results             []Result
	Violations          []Violation
	Events              []Event
	MaxLatenessMS       float64         // greatest lateness of the load generator, in milliseconds
	LateSendTimes         []time.Duration // at which the load generator was late, by the events' clock
	OnTime              bool            // at most one request in two hundred was sent late
	CPUMicrosPerRequest float64         // of all proxies, microseconds a request; 0 where they are not processes

	Needs Needs

	// Of gossip.

	PropagationTimes       []time.Duration // for each node announced to one proxy, until each other proxy had it, ascending
	NeverPropagated        int             // how often a proxy never had such a node
	GossipBytesPerSecond   float64         // sent and received, a second and proxy
	GossipPacketsPerSecond float64         // received, a second and proxy
	CatchUpTimes           []time.Duration // from a process's start or continuation until it reported that it had caught up, ascending

	// Of zone health.

	ZoneFaults     []ZoneFaultResult
	FalseVerdicts  int // verdicts that a zone is out where no fault explains it
	FalsePositives int // zones that a proxy passed by standalone where no fault explains it

	SlowStartPeak          float64 // greatest load of a node in slow start, as a part of what overloads it
	BackgroundLoad         BackgroundLoad
	AbsentLookupsPerSecond float64 // look-ups a second at the origin of keys that it lacks
	AbsentAnswersPerSecond float64 // answers a second to clients that there is no such key
	Recoveries             []RecoveryResult
	MaxAbsentStaleness     time.Duration // the longest for which a key was reported missing after it was written
	UnansweredMalformed    int           // malformed requests that were neither answered with an error nor closed on
}

// buildReport calculates the report once the scenario has ended.
func (r *runner) buildReport() *Report {
	r.reportLogs()
	events := r.log.All()
	report := &Report{Plan: r.plan, Results: r.load.results, Events: events, UnansweredMalformed: int(r.unansweredBadClients.Load())}
	checked := checkInvariants(r.plan.Scenario, r.plan.Requests, events)
	report.Violations, report.SlowStartPeak, report.MaxAbsentStaleness = checked.violations, checked.slowStart.peak, checked.absence.maxStaleness
	r.measureAbsentKeys(report, events)
	report.Recoveries = r.measureRecoveries()
	r.measureGossip(report)
	r.measureZoneHealth(report)
	report.BackgroundLoad = r.summarizeBackgroundLoad(events)
	report.CPUMicrosPerRequest = float64(r.proxyCPU.Load()) / 1000 / float64(max(len(r.plan.Requests), 1))
	report.Needs = r.measureResourceUsage()
	late := 0
	for _, e := range events {
		if e.Kind == SentLate {
			late++
			report.LateSendTimes = append(report.LateSendTimes, e.At)
			report.MaxLatenessMS = max(report.MaxLatenessMS, e.Figure)
		}
	}
	report.OnTime = late*requestsPerLateSend <= len(r.plan.Requests)
	return report
}
