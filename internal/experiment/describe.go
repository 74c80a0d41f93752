package experiment

import (
	"fmt"
	"strings"

	"woodproxy/internal/emulator"
)

// Describe returns the metrics of one run as text for the command line, one line for each topic, each ending in a line
// feed. Topics that do not apply to the scenario are omitted.
func Describe(report *emulator.Report) string {
	summary := Summarize(report)
	var text strings.Builder
	describeRequests(&text, report, summary)
	describeGossip(&text, report, summary.Gossip)
	fleet := summary.Fleet
	fmt.Fprintf(&text, "fleet: a silent node received %.2f probes a second, discovery had %.1f open watches and %.2f calls a second, "+
		"a cache node had %.1f connections, at most %d\n", fleet.HealthChecksPerSecond, fleet.MeanOpenWatches, fleet.WatchesOpenedPerSecond, fleet.MeanConnsPerNode, fleet.MaxConnsPerNode)
	describeZones(&text, report)
	describeRestarts(&text, report)
	if report.AbsentRepliesPerSecond > 0 {
		fmt.Fprintf(&text, "absent keys: the origin received %.1f lookups a second, clients %.1f replies; "+
			"a key was reported absent for up to %.0f ms after it was written\n",
			report.AbsentLookupsPerSecond, report.AbsentRepliesPerSecond, report.MaxAbsentStaleness.Seconds()*1000)
	}
	if report.SlowStartPeak > 0 {
		fmt.Fprintf(&text, "slow start: the greatest load of a node is %.2f of what overloads it\n", report.SlowStartPeak)
	}
	if !report.OnTime {
		fmt.Fprintf(&text, "the load generator was late by up to %.1f ms: the metrics are not valid\n", summary.LoadDelayMS)
	}
	if summary.UnansweredBadClients > 0 {
		fmt.Fprintf(&text, "%d bad clients received neither an error nor a close\n", summary.UnansweredBadClients)
	}
	return text.String()
}

func describeRequests(text *strings.Builder, report *emulator.Report, summary Summary) {
	outcomes, latency := summary.Outcomes, summary.LatencyMS
	fmt.Fprintf(text, "%s, seed %d: %d requests; completed %.1f%% (in time %.1f%%), shed %.1f%%, errored %.1f%%, "+
		"lost %.1f%%, refused %.1f%%\n", report.Plan.Scenario.Name, report.Plan.Seed, summary.Requests, 100*outcomes.Completed,
		100*outcomes.InTime, 100*outcomes.Shed, 100*outcomes.Errored, 100*outcomes.Lost, 100*outcomes.Refused)
	fmt.Fprintf(text, "value %.4f; latency from the scheduled time, ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f; "+
		"%.2f attempts and %.0f us of CPU a request\n", summary.ValueEarned, latency.P50, latency.P90, latency.P99, latency.Max,
		summary.AttemptsPerRequest, summary.CPUMicrosPerRequest)
}

func describeGossip(text *strings.Builder, report *emulator.Report, gossip GossipSummary) {
	if !report.Plan.Scenario.Gossip.On {
		return
	}
	fmt.Fprintf(text, "gossip: %.0f bytes and %.0f packets a second and proxy; caught up after p50 %.0f ms, max %.0f (%d times)\n",
		gossip.BytesPerSecond, gossip.PacketsPerSecond, gossip.CatchUpP50MS, gossip.CatchUpMaxMS, len(report.CatchUpTimes))
	if len(report.PropagationTimes) > 0 || report.NeverPropagated > 0 {
		fmt.Fprintf(text, "endpoint events of one proxy reached the others after p50 %.0f ms, p99 %.0f (%d), and %d never\n",
			gossip.PropagationP50MS, gossip.PropagationP99MS, len(report.PropagationTimes), report.NeverPropagated)
	}
}

func describeZones(text *strings.Builder, report *emulator.Report) {
	for _, zone := range report.ZoneFaults {
		fmt.Fprintf(text, "zone %s, fault at %.1f s for %.1f s: evacuated after %.0f to %.0f ms, by %d proxies never; "+
			"fully in use %.0f ms after the end of the fault; value %.3f in its first 5 s, %.3f in the 10 s after its end\n",
			zone.Zone, zone.At.Seconds(), zone.Duration.Seconds(), zone.FirstLeft.Seconds()*1000, zone.LastLeft.Seconds()*1000, zone.NeverLeft,
			zone.Returned.Seconds()*1000, zone.ValueDuring, zone.ValueAfter)
	}
	if report.Plan.Scenario.ZoneHealth.Decision != "" {
		fmt.Fprintf(text, "zones judged %s: %d verdicts on zones without a fault, and %d passed by alone\n",
			report.Plan.Scenario.ZoneHealth.Decision, report.FalseVerdicts, report.FalsePositives)
	}
}

func describeRestarts(text *strings.Builder, report *emulator.Report) {
	for _, restart := range report.Recoveries {
		fmt.Fprintf(text, "%d proxies killed at %.1f s: full service again after %.0f s, %.0f s after the last start; "+
			"fraction in time %.3f before, %.3f until then\n", restart.Killed, restart.At.Seconds(), restart.Recovered.Seconds(),
			max(restart.Recovered-restart.AllStarted, 0).Seconds(), restart.InTimeBefore, restart.InTimeUntilRecovered)
	}
}
