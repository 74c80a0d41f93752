package server

import (
	"net/http"
	"strings"
	"unicode"

	"woodproxy/internal/proxy"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics collects, when it is asked, the counters that there are and how what goes by turns stands.
type metrics struct {
	count *proxy.Counters
	peers *peers
	back  *returning
}

// gauges are those of the counters that go down as well.
var gauges = map[string]bool{"ClientsOpen": true, "Held": true, "Bytes": true, "Passing": true, "UpstreamOpen": true}

// Describe says nothing: which there are is known when they are collected.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect gives all by now.
func (m metrics) Collect(to chan<- prometheus.Metric) {
	give := func(name, help string, kind prometheus.ValueType, v float64) {
		to <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, nil, nil), kind, v)
	}
	m.count.Each(func(name string, v int64) {
		kind, end := prometheus.CounterValue, "_total"
		if gauges[name] {
			kind, end = prometheus.GaugeValue, ""
		}
		give("woodproxy_"+snake(name)+end, "The proxy's counter "+name+".", kind, float64(v))
	})
	if d := m.peers.duties; d != nil {
		f := d.Shown()
		for _, g := range []struct {
			name, help string
			v          int
		}{
			{"here", "Proxies that duties are dealt out to.", f.Here},
			{"watchers", "Proxies that said lately that their watch of discovery lives.", f.Watchers},
			{"kept_nodes", "Nodes to which this proxy keeps idle connections.", f.Kept},
			{"passed_nodes", "Nodes that this proxy passes over.", f.Passed},
		} {
			give("woodproxy_turns_"+g.name, g.help, prometheus.GaugeValue, float64(g.v))
		}
		for _, c := range []struct {
			name, help string
			v          int64
		}{
			{"trials", "Trials of silent nodes by this proxy.", f.Trials},
			{"told", "Trials by others that were heard of.", f.Told},
			{"twice", "Of these, such that came while one was out.", f.Twice},
			{"refused", "Words of others that were out of their bounds.", f.Refused},
			{"moved", "Nodes whose idle connections became this proxy's duty, or another's.", f.Moved},
		} {
			give("woodproxy_turns_"+c.name+"_total", c.help, prometheus.CounterValue, float64(c.v))
		}
	}
	if m.back != nil {
		f := m.back.shown()
		give("woodproxy_recovery_full_seconds", "Time from the start until the proxy was full, 0: it is not yet.", prometheus.GaugeValue, float64(f.FullMS)/1000)
		give("woodproxy_recovery_drained", "Nodes left alone by what was stored.", prometheus.GaugeValue, float64(f.Drained))
	}
	if a := m.peers.absent; a != nil {
		f := a.Shown()
		believes := 0.0
		if f.Believes {
			believes = 1
		}
		give("woodproxy_missing_believed", "Whether missing keys are believed by now.", prometheus.GaugeValue, believes)
		give("woodproxy_missing_hits_total", "Look-ups answered by what is known to be missing.", prometheus.CounterValue, float64(f.Hits))
		give("woodproxy_missing_put_total", "Missing keys that were taken.", prometheus.CounterValue, float64(f.Put))
		give("woodproxy_missing_cleared_total", "Times that all was forgotten.", prometheus.CounterValue, float64(f.Cleared))
	}
	if t := m.peers.now.Load(); t != nil {
		s := t.Shown()
		give("woodproxy_peers_share", "Part of what all proxies may do together that this one may.", prometheus.GaugeValue, s.Share)
		give("woodproxy_peers_known", "Proxies that are known, this one included.", prometheus.GaugeValue, float64(len(s.Members)))
	}
}

// snake turns a counter's name into a metric's.
func snake(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// Metrics answers the call for metrics, in the Prometheus text format.
func (s *service) Metrics() http.Handler {
	all := prometheus.NewPedanticRegistry()
	all.MustRegister(metrics{s.count, s.peers, s.back})
	return promhttp.HandlerFor(all, promhttp.HandlerOpts{MaxRequestsInFlight: 2})
}
