package experiment

import (
	"fmt"
	"strings"

	"woodproxy/internal/emulator"
)

// Describe words the metrics of one run for the command line, one line for each concern, each with a line feed. Lines of
// concerns that the scenario does not have are left out.
func Describe(report *emulator.Report) string {
	summary := Summarize(report)
	var text strings.Builder
	describeRequests(&text, report, summary)
	describeGossip(&text, report, summary.Gossip)
	fleet := summary.Fleet
	fmt.Fprintf(&text, "together: a silent node took %.2f a second, discovery %.1f watches at a time and %.2f calls a second, "+
		"a cache held %.1f connections, %d at most\n", fleet.HealthChecksPerSecond, fleet.MeanOpenWatches, fleet.WatchesOpenedPerSecond, fleet.MeanConnsPerNode, fleet.MaxConnsPerNode)
	describeZones(&text, report)
	describeRestarts(&text, report)
	if report.AbsentRepliesPerSecond > 0 {
		fmt.Fprintf(&text, "missing keys: the origin was asked for %.1f a second, clients heard of %.1f; "+
			"one was called missing %.0f ms after it was written at most\n",
			report.AbsentLookupsPerSecond, report.AbsentRepliesPerSecond, report.MaxAbsentStaleness.Seconds()*1000)
	}
	if report.SlowStartPeak > 0 {
		fmt.Fprintf(&text, "the most a cold node took in a second, of all proxies, is %.2f of what fells it\n", report.SlowStartPeak)
	}
	if !report.OnTime {
		fmt.Fprintf(&text, "the load itself ran late, by up to %.1f ms: the figures do not count\n", summary.LoadDelayMS)
	}
	if summary.UnansweredBadClients > 0 {
		fmt.Fprintf(&text, "%d bad clients had neither an error nor a close\n", summary.UnansweredBadClients)
	}
	return text.String()
}

func describeRequests(text *strings.Builder, report *emulator.Report, summary Summary) {
	outcomes, latency := summary.Outcomes, summary.LatencyMS
	fmt.Fprintf(text, "%s, seed %d: %d requests; completed %.1f%% (in time %.1f%%), shed %.1f%%, errored %.1f%%, "+
		"lost %.1f%%, refused %.1f%%\n", report.Plan.Scenario.Name, report.Plan.Seed, summary.Requests, 100*outcomes.Completed,
		100*outcomes.InTime, 100*outcomes.Shed, 100*outcomes.Errored, 100*outcomes.Lost, 100*outcomes.Refused)
	fmt.Fprintf(text, "worth %.4f; latency from when it was due, ms: p50 %.1f, p90 %.1f, p99 %.1f, most %.1f; "+
		"%.2f tries and %.0f us of CPU a request\n", summary.ValueEarned, latency.P50, latency.P90, latency.P99, latency.Max,
		summary.AttemptsPerRequest, summary.CPUMicrosPerRequest)
}

func describeGossip(text *strings.Builder, report *emulator.Report, gossip GossipSummary) {
	if !report.Plan.Scenario.Gossip.On {
		return
	}
	fmt.Fprintf(text, "talk: %.0f bytes and %.0f packets a second and proxy; caught up after p50 %.0f ms, most %.0f (%d times)\n",
		gossip.BytesPerSecond, gossip.PacketsPerSecond, gossip.CatchUpP50MS, gossip.CatchUpMaxMS, len(report.CatchUpTimes))
	if len(report.PropagationTimes) > 0 || report.NeverPropagated > 0 {
		fmt.Fprintf(text, "what one proxy was told the others had after p50 %.0f ms, p99 %.0f (%d), and %d never\n",
			gossip.PropagationP50MS, gossip.PropagationP99MS, len(report.PropagationTimes), report.NeverPropagated)
	}
}

func describeZones(text *strings.Builder, report *emulator.Report) {
	for _, zone := range report.ZoneFaults {
		fmt.Fprintf(text, "zone %s, hit at %.1f s for %.1f: left after %.0f to %.0f ms, %d never; "+
			"all of it again %.0f ms after its end; worth %.3f in the first 5 s, %.3f in the 10 s after its end\n",
			zone.Zone, zone.At.Seconds(), zone.Duration.Seconds(), zone.FirstLeft.Seconds()*1000, zone.LastLeft.Seconds()*1000, zone.NeverLeft,
			zone.Returned.Seconds()*1000, zone.ValueDuring, zone.ValueAfter)
	}
	if report.Plan.Scenario.ZoneHealth.Decision != "" {
		fmt.Fprintf(text, "zones judged %s: %d verdicts on zones that nothing had hit, and %d passed by alone\n",
			report.Plan.Scenario.ZoneHealth.Decision, report.FalseVerdicts, report.FalsePositives)
	}
}

func describeRestarts(text *strings.Builder, report *emulator.Report) {
	for _, restart := range report.Recoveries {
		fmt.Fprintf(text, "%d proxies killed at %.1f s: full service again after %.0f s, %.0f s after the last start; "+
			"before %.3f in time, %.3f in the time between\n", restart.Killed, restart.At.Seconds(), restart.Recovered.Seconds(),
			max(restart.Recovered-restart.AllStarted, 0).Seconds(), restart.InTimeBefore, restart.InTimeUntilRecovered)
	}
}
