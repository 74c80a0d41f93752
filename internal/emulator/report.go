package emulator

import "time"

// requestsPerLateSend is the minimum number of requests for each late send in a run that counts as on time.
const requestsPerLateSend = 200

// Report holds the results and measurements of a run.
type Report struct {
	Plan                *Plan
	Results             []Result
	Violations          []Violation
	Events              []Event
	MaxLatenessMS       float64         // maximum delay of the load generator, in milliseconds
	LateSendTimes       []time.Duration // times of late sends of the load generator, since the start of the event log, ascending
	OnTime              bool            // at most one request in requestsPerLateSend was sent late
	CPUMicrosPerRequest float64         // CPU time of all proxies, in microseconds per request; 0 if they are not processes

	ResourceUsage ResourceUsage

	// Gossip.

	PropagationTimes       []time.Duration // for each node announced to one proxy, time until each other proxy listed it, ascending
	NeverPropagated        int             // number of pairs of such a node and a proxy that never listed it
	GossipBytesPerSecond   float64         // sent and received, per second and proxy
	GossipPacketsPerSecond float64         // received, per second and proxy
	CatchUpTimes           []time.Duration // from start or continuation of a process until it reported that it had caught up, ascending

	// Zone health.

	ZoneFaults     []ZoneFaultResult
	FalseVerdicts  int // verdicts that a zone is out without a fault that explains them
	FalsePositives int // standalone evacuations of a zone by a proxy without a fault that explains them

	SlowStartPeak          float64 // maximum load of a node in slow start, as a fraction of its overload limit
	BackgroundLoad         BackgroundLoad
	AbsentLookupsPerSecond float64 // look-ups of absent keys at the origin, per second
	AbsentRepliesPerSecond float64 // replies to clients that report an absent key, per second
	Recoveries             []RecoveryResult
	MaxAbsentStaleness     time.Duration // longest time for which a key was reported absent after its write
	UnansweredMalformed    int           // malformed requests that led to neither an error reply nor the end of the connection
}

// buildReport builds the report. It must be called after the scenario has ended.
func (r *runner) buildReport() *Report {
	r.reportLogs()
	events := r.log.All()
	report := &Report{Plan: r.plan, Results: r.load.results, Events: events, UnansweredMalformed: int(r.unansweredMalformed.Load())}
	checked := checkInvariants(r.plan.Scenario, r.plan.Requests, events)
	report.Violations, report.SlowStartPeak, report.MaxAbsentStaleness = checked.violations, checked.slowStart.peak, checked.absence.maxStaleness
	r.measureAbsentKeys(report, events)
	report.Recoveries = r.measureRecoveries()
	r.measureGossip(report)
	r.measureZoneHealth(report)
	report.BackgroundLoad = r.summarizeBackgroundLoad(events)
	report.CPUMicrosPerRequest = float64(r.proxyCPU.Load()) / 1000 / float64(max(len(r.plan.Requests), 1))
	report.ResourceUsage = r.measureResourceUsage()
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
