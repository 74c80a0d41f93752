package emulator

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// BackgroundLoad is the load that all proxies together put on nodes and discovery in addition to requests.
type BackgroundLoad struct {
	HealthChecksPerSecond  float64 // commands per second at a silent node, counted from silenceGrace after it fell silent
	MeanOpenWatches        float64 // mean number of open discovery watches
	WatchesOpenedPerSecond float64 // discovery watches opened per second
	MeanConnsPerNode       float64 // mean number of open connections of a cache
	MaxConnsPerNode        int     // largest number of open connections of one cache
}

// silenceGrace is the time within which proxies eject a silent node. Commands that it receives later count as health checks.
const silenceGrace = 2 * time.Second

// timeSpan is an interval of times since the start of the event log, both ends inclusive.
type timeSpan struct{ from, to time.Duration }

func (s timeSpan) contains(at time.Duration) bool { return at >= s.from && at <= s.to }

// backgroundSamples holds the samples from which a BackgroundLoad is calculated.
type backgroundSamples struct {
	// Written only by sampleBackgroundLoad, and read after it has returned.
	samples      int
	watches      int
	connsPerNode float64
	maxConns     int
	watchCalls   int64
	began        time.Time

	mu          sync.Mutex
	silentTime  time.Duration // time beyond silenceGrace, summed over all silent nodes
	silentSpans map[string]timeSpan
}

// writeDutyConfig writes the duties file of a proxy, unless the scenario has no duties.
func (r *runner) writeDutyConfig(m *managedProxy) error {
	t := r.plan.Scenario.Duties
	if !t.On {
		return nil
	}
	m.config.DutiesFile = filepath.Join(m.config.Dir, "turns.toml")
	return os.WriteFile(m.config.DutiesFile, fmt.Appendf(nil, "watchers = %d\nkeepers = %d\n", t.Watchers, t.Owners), 0o600)
}

// recordSilence records that a node was silent between two times. Silences shorter than silenceGrace are ignored.
func (r *runner) recordSilence(n *Node, from, to time.Time) {
	span := timeSpan{from.Add(silenceGrace).Sub(r.log.start), to.Sub(r.log.start)}
	if span.to <= span.from {
		return
	}
	b := &r.backgroundLoad
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silentTime += span.to - span.from
	if b.silentSpans == nil {
		b.silentSpans = map[string]timeSpan{}
	}
	b.silentSpans[n.Name] = span
}

// sampleBackgroundLoad counts open connections and watches every statusPollInterval until the context ends.
func (r *runner) sampleBackgroundLoad(ctx context.Context) {
	b := &r.backgroundLoad
	b.began, b.watchCalls = time.Now(), -r.discoveryCalls()
	for sleep(ctx, statusPollInterval) {
		r.mu.Lock()
		nodes := slices.Clone(r.nodes)
		r.mu.Unlock()
		sum := 0
		for _, n := range nodes {
			open := n.OpenConns()
			sum += open
			b.maxConns = max(b.maxConns, open)
		}
		b.samples++
		b.connsPerNode += float64(sum) / float64(len(nodes))
		for _, d := range r.discoveries {
			b.watches += int(d.OpenWatches.Load())
		}
	}
	b.watchCalls += r.discoveryCalls()
}

// discoveryCalls returns the number of watches that have been opened at all discovery agents.
func (r *runner) discoveryCalls() (sum int64) {
	for _, d := range r.discoveries {
		sum += d.WatchesOpened.Load()
	}
	return sum
}

// summarizeBackgroundLoad calculates the background load from the samples and the recorded events.
func (r *runner) summarizeBackgroundLoad(events []Event) (load BackgroundLoad) {
	b := &r.backgroundLoad
	for _, e := range events {
		if span, ok := b.silentSpans[e.Node]; ok && e.Kind == AttemptReceived && span.contains(e.At) {
			load.HealthChecksPerSecond++
		}
	}
	if b.silentTime > 0 {
		load.HealthChecksPerSecond /= b.silentTime.Seconds()
	}
	if b.samples > 0 {
		load.MeanOpenWatches, load.MeanConnsPerNode = float64(b.watches)/float64(b.samples), b.connsPerNode/float64(b.samples)
		load.WatchesOpenedPerSecond, load.MaxConnsPerNode = float64(b.watchCalls)/time.Since(b.began).Seconds(), b.maxConns
	}
	return load
}
