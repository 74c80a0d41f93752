package experiment

// column is one metric column of a table.
type column struct {
	name  string // name in stored tables
	value func(s Summary) float64
}

// metricColumns are the metric columns of a table, in the order of stored tables. New columns are added at the end, so that
// older tables, which have fewer of them, can still be read.
var metricColumns = []column{
	{"requests", func(s Summary) float64 { return float64(s.Requests) }},
	{"completed", func(s Summary) float64 { return s.Outcomes.Completed }},
	{"in_time", func(s Summary) float64 { return s.Outcomes.InTime }},
	{"shed", func(s Summary) float64 { return s.Outcomes.Shed }},
	{"errored", func(s Summary) float64 { return s.Outcomes.Errored }},
	{"lost", func(s Summary) float64 { return s.Outcomes.Lost }},
	{"refused", func(s Summary) float64 { return s.Outcomes.Refused }},
	{"worth", func(s Summary) float64 { return s.ValueEarned }},
	{"p50_ms", func(s Summary) float64 { return s.LatencyMS.P50 }},
	{"p90_ms", func(s Summary) float64 { return s.LatencyMS.P90 }},
	{"p99_ms", func(s Summary) float64 { return s.LatencyMS.P99 }},
	{"max_ms", func(s Summary) float64 { return s.LatencyMS.Max }},
	{"tries", func(s Summary) float64 { return s.AttemptsPerRequest }},
	{"cpu_us", func(s Summary) float64 { return s.CPUMicrosPerRequest }},
	{"late_ms", func(s Summary) float64 { return s.LoadDelayMS }},
	{"breaches", func(s Summary) float64 { return float64(s.Violations) }},
	{"bad_mute", func(s Summary) float64 { return float64(s.UnansweredBadClients) }},
	{"heard_p50_ms", func(s Summary) float64 { return s.Gossip.PropagationP50MS }},
	{"heard_p99_ms", func(s Summary) float64 { return s.Gossip.PropagationP99MS }},
	{"unheard", func(s Summary) float64 { return float64(s.Gossip.NeverReached) }},
	{"caught_p50_ms", func(s Summary) float64 { return s.Gossip.CatchUpP50MS }},
	{"caught_max_ms", func(s Summary) float64 { return s.Gossip.CatchUpMaxMS }},
	{"peer_bytes", func(s Summary) float64 { return s.Gossip.BytesPerSecond }},
	{"peer_packets", func(s Summary) float64 { return s.Gossip.PacketsPerSecond }},
	{"left_first_ms", func(s Summary) float64 { return s.Zones.FirstEvacuationMS }},
	{"left_last_ms", func(s Summary) float64 { return s.Zones.LastEvacuationMS }},
	{"zone_back_ms", func(s Summary) float64 { return s.Zones.RecoveryMS }},
	{"worth_hit", func(s Summary) float64 { return s.Zones.ValueDuringFault }},
	{"worth_back", func(s Summary) float64 { return s.Zones.ValueAfterFault }},
	{"never_left", func(s Summary) float64 { return float64(s.Zones.NeverEvacuated) }},
	{"convicted", func(s Summary) float64 { return float64(s.Zones.FalseVerdicts) }},
	{"cold_peak", func(s Summary) float64 { return s.SlowStartPeak }},
	{"silent_tries", func(s Summary) float64 { return s.Fleet.HealthChecksPerSecond }},
	{"watches", func(s Summary) float64 { return s.Fleet.MeanOpenWatches }},
	{"list_calls", func(s Summary) float64 { return s.Fleet.WatchesOpenedPerSecond }},
	{"cache_conns", func(s Summary) float64 { return s.Fleet.MeanConnsPerNode }},
	{"cache_conns_max", func(s Summary) float64 { return float64(s.Fleet.MaxConnsPerNode) }},
	{"absent_asked", func(s Summary) float64 { return s.NegativeCache.OriginMissesPerSecond }},
	{"absent_said", func(s Summary) float64 { return s.NegativeCache.ClientMissesPerSecond }},
	{"stale_ms", func(s Summary) float64 { return s.NegativeCache.StaleMS }},
	{"full_s", func(s Summary) float64 { return s.FullServiceSeconds }},
}

// minMetricColumns is the number of metric columns in the oldest tables.
const minMetricColumns = 17

// metricNames returns the names of the metric columns in their order.
func metricNames() []string {
	names := make([]string, len(metricColumns))
	for i, c := range metricColumns {
		names[i] = c.name
	}
	return names
}

// metrics returns the values of the metric columns by name.
func (s Summary) metrics() map[string]float64 {
	values := make(map[string]float64, len(metricColumns))
	for _, c := range metricColumns {
		values[c.name] = c.value(s)
	}
	return values
}
