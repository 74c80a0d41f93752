package server

import (
	"net/http"
	"runtime"
	"strings"
	"unicode"

	"woodproxy/duties"
	"woodproxy/internal/proxy"
	"woodproxy/negativecache"
	"woodproxy/recovery"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sys/unix"
)

const (
	metricPrefix = "woodproxy_"

	maxConcurrentScrapes = 2
)

// Metrics returns the handler of GET /metrics, in the Prometheus text format.
func (s *adminService) Metrics() http.Handler {
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(metricsCollector{s.counters, s.gossip, s.recovery})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes})
}

// metricsCollector collects the counters of the proxy and the statistics of its modules at each scrape.
type metricsCollector struct {
	counters *proxy.Counters
	gossip   *gossipAdapter
	recovery *recoveryTracker
}

// gaugeCounters are the names of the proxy's counters that can decrease.
var gaugeCounters = map[string]bool{
	"ClientsOpen": true, "Held": true, "Bytes": true, "Passing": true, "UpstreamOpen": true,
}

// Describe sends nothing, which makes the collector unchecked: its metrics are not known before they are collected.
func (m metricsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current value of each metric.
func (m metricsCollector) Collect(metrics chan<- prometheus.Metric) {
	sink := metricSink(metrics)
	m.counters.Each(func(name string, value int64) {
		help := "The proxy's counter " + name + "."
		if gaugeCounters[name] {
			sink.gauge(snakeCase(name), help, float64(value))
		} else {
			sink.counter(snakeCase(name), help, value)
		}
	})
	sink.labeledCounters(m.counters)
	if m.gossip.duties != nil {
		sink.duties(m.gossip.duties.actor.Stats())
	}
	if m.recovery != nil {
		sink.recovery(m.recovery.status())
	}
	if m.gossip.negativeCache != nil {
		sink.negativeCache(m.gossip.negativeCache.actor.Stats())
	}
	if status := m.gossip.sender.status(); status != nil {
		sink.gauge("peers_share", "Fraction of the fleet's quota that this proxy may use.", status.QuotaShare)
		sink.gauge("peers_known", "Known proxies, including this one.", float64(len(status.Members)))
	}
}

// metricSink converts values to metrics and sends them.
type metricSink chan<- prometheus.Metric

func (s metricSink) gauge(name, help string, value float64) {
	s.send(name, help, prometheus.GaugeValue, value)
}

func (s metricSink) counter(name, help string, value int64) {
	s.send(name+"_total", help, prometheus.CounterValue, float64(value))
}

func (s metricSink) send(name, help string, kind prometheus.ValueType, value float64) {
	s <- prometheus.MustNewConstMetric(prometheus.NewDesc(metricPrefix+name, help, nil, nil), kind, value)
}

// labeledCounters sends the counters that have a label, for example the reason, invariant or system call, and further
// statistics of the process.
func (s metricSink) labeledCounters(counters *proxy.Counters) {
	counters.EachReason(func(c proxy.ReasonCount) {
		desc := prometheus.NewDesc(metricPrefix+c.Metric+"_total", c.Help, []string{c.Label}, nil)
		s <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(c.Count), c.Value)
	})
	failed := prometheus.NewDesc(metricPrefix+"local_errors_total", "System calls that failed for a local reason.",
		[]string{"call", "errno"}, nil)
	counters.LocalErrors.Each(func(kind proxy.SystemCallError, count int64) {
		name := unix.ErrnoName(kind.Errno)
		s <- prometheus.MustNewConstMetric(failed, prometheus.CounterValue, float64(count), kind.Call, name)
	})
	s.delays("surplus_response_delay_seconds", "Time from the end of the last response on a connection to a surplus response.",
		&counters.SurplusDelay)
	s.delays("request_queue_delay_seconds", "Time from the last byte of a request to its handling.", &counters.QueueDelay)
	s.counter("responses_cut_off", "Responses that the proxy gave up after it had read a part of them.", counters.ResponsesCutOff.Load())
	s.counter("hosts_distrusted", "Times that a host became distrusted after a surplus response.", counters.HostsDistrusted.Load())
	s.counter("responses_unconfirmed", "Rejections and misses on used connections that were taken for attempts that may have run.",
		counters.Unconfirmed.Load())
	s.counter("responses_unattributed", "Responses on used connections of distrusted hosts, which were taken for no request's.",
		counters.Unattributed.Load())
	s.counter("client_reads_paused", "Pauses in the reading of client connections whose commands come at too high a rate.",
		counters.ReadsPaused.Load())
	s.counter("hosts_superseded", "Hosts that were superseded by another one at their address.", counters.HostsSuperseded.Load())
	s.counter("wall_clock_steps", "Detected steps of the wall clock.", counters.WallClockSteps.Load())
	s.counter("state_write_failures", "Writes of the state file that failed.", counters.StateWriteFailures.Load())
	s.counter("traces_omitted", "Requests whose trace was not logged because of the rate limit.", counters.TracesOmitted.Load())
	s.gauge("goroutines", "Goroutines of the process.", float64(runtime.NumGoroutine()))
}

func (s metricSink) delays(name, help string, histogram *proxy.DelayHistogram) {
	count, sum, upTo := histogram.Cumulative()
	s <- prometheus.MustNewConstHistogram(prometheus.NewDesc(metricPrefix+name, help, nil, nil), count, sum, upTo)
}

func (s metricSink) duties(stats duties.Stats) {
	s.gauge("turns_here", "Proxies to which duties are assigned.", float64(stats.Alive))
	s.gauge("turns_watchers", "Proxies with a valid watch lease.", float64(stats.Watchers))
	s.gauge("turns_kept_nodes", "Nodes to which this proxy keeps idle connections.", float64(stats.OwnedNodes))
	s.gauge("turns_passed_nodes", "Nodes that this proxy has ejected.", float64(stats.EjectedNodes))
	s.counter("turns_trials", "Health check probes that this proxy has sent to silent nodes.", stats.ProbesSent)
	s.counter("turns_told", "Accepted probe reports of other proxies.", stats.ReportsReceived)
	s.counter("turns_twice", "Probes sent less than half an interval after the latest one.", stats.DuplicateProbes)
	s.counter("turns_refused", "Rejected probe reports of other proxies.", stats.RejectedReports)
	s.counter("turns_moved", "Nodes whose idle connections this proxy took over or gave up.", stats.OwnershipChanges)
}

func (s metricSink) recovery(stats recovery.Status) {
	s.gauge("recovery_full_seconds", "Time from the start until full service was first reached, 0 before that.",
		float64(stats.FullServiceAfterMS)/1000)
	s.gauge("recovery_drained", "Endpoints that received no requests at the start because of the state file.", float64(stats.DrainingEndpoints))
}

func (s metricSink) negativeCache(stats negativecache.Stats) {
	serving := 0.0
	if stats.Serving {
		serving = 1
	}
	s.gauge("missing_believed", "Whether absent keys are served from the negative cache.", serving)
	s.counter("missing_hits", "Lookups that found an absent key.", stats.Hits)
	s.counter("missing_put", "Absent keys that were stored.", stats.Stored)
	s.counter("missing_cleared", "Flushes of the negative cache.", stats.Flushes)
}

// snakeCase converts the name of a counter in camel case to the name of a metric.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
