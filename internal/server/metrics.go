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
		sink.gauge("peers_share", "Part of what all proxies may do together that this one may.", status.QuotaShare)
		sink.gauge("peers_known", "Proxies that are known, this one included.", float64(len(status.Members)))
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
	failed := prometheus.NewDesc(metricPrefix+"local_errors_total", "System calls that failed for a reason of this machine.",
		[]string{"call", "errno"}, nil)
	counters.LocalErrors.Each(func(kind proxy.SystemCallError, count int64) {
		name := unix.ErrnoName(kind.Errno)
		s <- prometheus.MustNewConstMetric(failed, prometheus.CounterValue, float64(count), kind.Call, name)
	})
	s.counter("wall_clock_steps", "Times that the wall clock was seen to step.", counters.WallClockSteps.Load())
	s.counter("state_write_failures", "Writes of the state file that failed.", counters.StateWriteFailures.Load())
	s.counter("traces_omitted", "Requests whose trace was not logged, since there were too many.", counters.TracesOmitted.Load())
	s.gauge("goroutines", "Goroutines of the process.", float64(runtime.NumGoroutine()))
}

func (s metricSink) duties(stats duties.Statistics) {
	s.gauge("turns_here", "Proxies that duties are dealt out to.", float64(stats.Alive))
	s.gauge("turns_watchers", "Proxies that said lately that their watch of discovery lives.", float64(stats.Watchers))
	s.gauge("turns_kept_nodes", "Nodes to which this proxy keeps idle connections.", float64(stats.OwnedNodes))
	s.gauge("turns_passed_nodes", "Nodes that this proxy passes over.", float64(stats.EjectedNodes))
	s.counter("turns_trials", "Trials of silent nodes by this proxy.", stats.ProbesSent)
	s.counter("turns_told", "Trials by others that were heard of.", stats.ReportsReceived)
	s.counter("turns_twice", "Of these, such that came while one was out.", stats.DuplicateProbes)
	s.counter("turns_refused", "Words of others that were out of their bounds.", stats.RejectedReports)
	s.counter("turns_moved", "Nodes whose idle connections became this proxy's duty, or another's.", stats.OwnershipChanges)
}

func (s metricSink) recovery(stats recovery.Status) {
	s.gauge("recovery_full_seconds", "Time from the start until the proxy was full, 0: it is not yet.",
		float64(stats.FullServiceAfterMS)/1000)
	s.gauge("recovery_drained", "Nodes left alone by what was stored.", float64(stats.DrainingEndpoints))
}

func (s metricSink) negativeCache(stats negativecache.Stats) {
	serving := 0.0
	if stats.Serving {
		serving = 1
	}
	s.gauge("missing_believed", "Whether missing keys are believed by now.", serving)
	s.counter("missing_hits", "Look-ups answered by what is known to be missing.", stats.Hits)
	s.counter("missing_put", "Missing keys that were taken.", stats.Stored)
	s.counter("missing_cleared", "Times that all was forgotten.", stats.Flushes)
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
