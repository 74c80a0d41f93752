package experiment

import (
	"time"

	"woodproxy/internal/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histogram. A latency above the range is not recorded.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 120_000_000
	latencySignificantDigits = 3
)

// Summary contains the metrics of one run. A metric that does not apply to the scenario is 0.
type Summary struct {
	Requests             int
	Outcomes             OutcomeFractions
	ValueEarned          float64 // by requests completed within their objective, as a fraction of the total value
	LatencyMS            LatencyQuantiles
	AttemptsPerRequest   float64 // commands that cache nodes received per request
	CPUMicrosPerRequest  float64 // CPU time of all proxies together
	LoadDelayMS          float64 // greatest lateness of the load generator
	Violations           int     // violations of the emulator's invariants
	UnansweredBadClients int     // clients that violated the protocol and received neither an error nor a close
	Gossip               GossipSummary
	Zones                ZoneSummary
	SlowStartPeak        float64                 // greatest load of a node in slow start, as a fraction of what overloads it
	Fleet                emulator.BackgroundLoad // load of the proxy fleet on nodes and discovery
	FullServiceSeconds   float64                 // maximum time from a kill until service was back to 95% of that before
	NegativeCache        NegativeCacheStats      // lookups of absent keys
}

// OutcomeFractions are fractions of the requests whose clients waited for the reply.
type OutcomeFractions struct {
	Completed float64
	InTime    float64 // completed within the objective of the route
	Shed      float64
	Errored   float64
	Lost      float64
	Refused   float64
}

// LatencyQuantiles are quantiles of the latency of completed requests, measured from the scheduled time, in milliseconds.
type LatencyQuantiles struct {
	P50, P90, P99, Max float64
}

// GossipSummary contains the metrics of gossip between proxies.
type GossipSummary struct {
	PropagationP50MS float64 // from an endpoint event at one proxy until another proxy has received it
	PropagationP99MS float64
	NeverReached     int     // number of times that a proxy never received an event
	CatchUpP50MS     float64 // from the start or resumption of a proxy until it has caught up
	CatchUpMaxMS     float64
	BytesPerSecond   float64 // per proxy, received and sent
	PacketsPerSecond float64 // per proxy, received
}

// ZoneSummary contains the metrics of the zones in which a fault was injected.
type ZoneSummary struct {
	FirstEvacuationMS float64 // from the fault until the first proxy has evacuated the zone; maximum over zones
	LastEvacuationMS  float64 // from the fault until the last proxy has evacuated the zone; maximum over zones
	RecoveryMS        float64 // from the end of the fault until all proxies serve all keys there; maximum over zones
	ValueDuringFault  float64 // fraction of the value earned in the first five seconds of the fault; mean over zones
	ValueAfterFault   float64 // fraction of the value earned in the ten seconds after its end; mean over zones
	NeverEvacuated    int     // proxies that never evacuated a faulty zone
	FalseVerdicts     int     // verdicts against zones without a fault
}

// NegativeCacheStats contains the metrics of absent keys, which the origin does not have.
type NegativeCacheStats struct {
	OriginMissesPerSecond float64 // lookups of absent keys that reached the origin
	ClientMissesPerSecond float64 // replies to clients that the key is absent
	StaleMS               float64 // longest time for which a key was reported absent after it had been written
}

// Summarize computes the metrics of a run from its report.
func Summarize(report *emulator.Report) Summary {
	summary := Summary{
		Requests:             len(report.Results),
		CPUMicrosPerRequest:  report.CPUMicrosPerRequest,
		LoadDelayMS:          report.MaxLatenessMS,
		Violations:           len(report.Violations),
		UnansweredBadClients: report.UnansweredMalformed,
		Gossip:               summarizeGossip(report),
		Zones:                summarizeZones(report),
		SlowStartPeak:        report.SlowStartPeak,
		Fleet:                report.BackgroundLoad,
		NegativeCache: NegativeCacheStats{
			OriginMissesPerSecond: report.AbsentLookupsPerSecond,
			ClientMissesPerSecond: report.AbsentRepliesPerSecond,
			StaleMS:               report.MaxAbsentStaleness.Seconds() * 1000,
		},
	}
	summary.addResults(report)
	for _, restart := range report.Recoveries {
		summary.FullServiceSeconds = max(summary.FullServiceSeconds, restart.Recovered.Seconds())
	}
	attempts := 0.0
	for _, event := range report.Events {
		if event.Kind == emulator.AttemptReceived {
			attempts++
		}
	}
	summary.AttemptsPerRequest = attempts / max(float64(summary.Requests), 1)
	return summary
}

// addResults adds the outcomes, the earned value and the latency that clients observed. A request that its client
// abandoned counts for none of them.
func (s *Summary) addResults(report *emulator.Report) {
	histogram := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	waited, earned, total := 0.0, 0.0, 0.0
	outcomes := &s.Outcomes
	for _, result := range report.Results {
		route := report.Plan.Scenario.Routes[result.Request.Route]
		if result.Outcome == emulator.Abandoned {
			continue
		}
		waited++
		total += route.Weight
		switch result.Outcome {
		case emulator.Completed:
			outcomes.Completed++
			// RecordValue fails only for a value above the histogram's range, which no overall timeout reaches.
			_ = histogram.RecordValue(max(result.Latency.Microseconds(), minLatencyMicros))
			if result.Latency.Seconds()*1000 <= route.ObjectiveMS {
				outcomes.InTime++
				earned += route.Weight
			}
		case emulator.Rejected:
			outcomes.Shed++
		case emulator.Failed:
			outcomes.Errored++
		case emulator.Unanswered:
			outcomes.Lost++
		case emulator.ConnectionRefused:
			outcomes.Refused++
		}
	}
	outcomes.divide(max(waited, 1))
	s.ValueEarned = earned / max(total, 1e-9)
	quantile := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / 1000 }
	s.LatencyMS = LatencyQuantiles{
		P50: quantile(50),
		P90: quantile(90),
		P99: quantile(99),
		Max: float64(histogram.Max()) / 1000,
	}
}

func (f *OutcomeFractions) divide(by float64) {
	for _, field := range []*float64{&f.Completed, &f.InTime, &f.Shed, &f.Errored, &f.Lost, &f.Refused} {
		*field /= by
	}
}

func summarizeGossip(report *emulator.Report) GossipSummary {
	return GossipSummary{
		PropagationP50MS: quantileMS(report.PropagationTimes, 0.5),
		PropagationP99MS: quantileMS(report.PropagationTimes, 0.99),
		NeverReached:     report.NeverPropagated,
		CatchUpP50MS:     quantileMS(report.CatchUpTimes, 0.5),
		CatchUpMaxMS:     quantileMS(report.CatchUpTimes, 1),
		BytesPerSecond:   report.GossipBytesPerSecond,
		PacketsPerSecond: report.GossipPacketsPerSecond,
	}
}

// quantileMS returns a quantile, given as 0 to 1, of sorted durations in milliseconds. It returns 0 if there are none.
func quantileMS(sorted []time.Duration, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(int(quantile*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[index].Microseconds()) / 1000
}

func summarizeZones(report *emulator.Report) ZoneSummary {
	summary := ZoneSummary{FalseVerdicts: report.FalseVerdicts}
	zones := float64(len(report.ZoneFaults))
	for _, zone := range report.ZoneFaults {
		summary.FirstEvacuationMS = max(summary.FirstEvacuationMS, zone.FirstLeft.Seconds()*1000)
		summary.LastEvacuationMS = max(summary.LastEvacuationMS, zone.LastLeft.Seconds()*1000)
		summary.RecoveryMS = max(summary.RecoveryMS, zone.Returned.Seconds()*1000)
		summary.ValueDuringFault += zone.ValueDuring / zones
		summary.ValueAfterFault += zone.ValueAfter / zones
		summary.NeverEvacuated += zone.NeverLeft
	}
	return summary
}
