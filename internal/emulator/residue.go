package emulator

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metrics of proxies that are checked after all clients have left. They must then be zero, except for the goroutines and the
// invariant violations that a pause excuses.
const (
	counterGoroutines = "woodproxy_goroutines"
	counterHeld       = "woodproxy_held"
	counterBytes      = "woodproxy_bytes"
	counterStreams    = "woodproxy_passing"
	counterViolations = "woodproxy_invariant_violations_total" // sum over all invariants
	counterPanics     = "woodproxy_panics_total"
)

var residueCounters = []string{counterGoroutines, counterHeld, counterBytes, counterStreams, counterViolations, counterPanics}

const (
	residueTimeout  = 3 * time.Second // for attempts in flight to end
	residueInterval = 100 * time.Millisecond
	scrapeTimeout   = time.Second
)

// forbiddenMessages are the prefixes of messages that no proxy may log.
var forbiddenMessages = []string{messageInvariant, "panic"}

// reportResidue records the residue metrics of the running proxies after all clients have left. It waits up to
// residueTimeout for attempts in flight. Proxies without an admin address are skipped.
func (r *runner) reportResidue(ctx context.Context) {
	var scrapes sync.WaitGroup
	for i, m := range r.proxies {
		if m.config.AdminAddress == "" || !r.load.available[i].Load() {
			continue
		}
		scrapes.Go(func() { r.reportProxyResidue(ctx, i, m.config.AdminAddress) })
	}
	scrapes.Wait()
}

// reportProxyResidue scrapes a proxy until it holds nothing or residueTimeout has passed, and records the metrics.
func (r *runner) reportProxyResidue(ctx context.Context, proxy int, address string) {
	var counters map[string]float64
	for end := time.Now().Add(residueTimeout); ; {
		counters = scrape(ctx, address)
		held := counters[counterHeld] + counters[counterBytes] + counters[counterStreams]
		if counters != nil && held == 0 || time.Now().After(end) || !sleep(ctx, residueInterval) {
			break
		}
	}
	for _, name := range residueCounters {
		if value, ok := counters[name]; ok {
			r.log.Record(Event{Kind: CounterReported, Proxy: proxy, Note: name, Figure: value})
		}
	}
}

// scrape returns the residueCounters of a proxy, each as the sum over its labels. It returns nil if the admin server does
// not respond.
func scrape(ctx context.Context, address string) map[string]float64 {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }() // a close error after reading does not matter
	values := map[string]float64{}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		series, text, found := strings.Cut(lines.Text(), " ")
		name, _, _ := strings.Cut(series, "{")
		if value, err := strconv.ParseFloat(text, 64); found && err == nil && slices.Contains(residueCounters, name) {
			values[name] += value
		}
	}
	return values
}

// reportLogs records how often each proxy logged forbidden messages.
func (r *runner) reportLogs() {
	counts, processes := map[int]map[string]float64{}, newProcessHistory(r.log.All())
	r.eachLogLine(func(proxy int, line logLine) {
		for _, message := range forbiddenMessages {
			if !strings.HasPrefix(line.Msg, message) {
				continue
			}
			if counts[proxy] == nil {
				counts[proxy] = map[string]float64{}
			}
			if r.isExcusedByPause(proxy, &line, processes) {
				message = noteExcused
			}
			counts[proxy][message]++
		}
	})
	for proxy, messages := range counts {
		for message, n := range messages {
			r.log.Record(Event{Kind: LogReported, Proxy: proxy, Note: message, Figure: n})
		}
	}
}

// sentDeadlineInvariant is the invariant that a proxy reports as violated if it was stopped between writing an attempt and
// reading the clock afterwards. The proxy tolerates 0.15 s between the two, and pauses last longer.
const sentDeadlineInvariant = "told_deadline_holds"

// noteExcused is the Note of LogReported events that count log lines excused by a pause.
const noteExcused = "excused by a pause"

// pauseSlack is the time after the end of a pause within which a process may log consequences of the pause.
const pauseSlack = 100 * time.Millisecond

// isExcusedByPause reports whether a line logs a violation of sentDeadlineInvariant that a pause of the proxy explains.
func (r *runner) isExcusedByPause(proxy int, line *logLine, processes *processHistory) bool {
	at := r.sinceStart(line.At)
	return line.Invariant == sentDeadlineInvariant && processes.wasPaused(proxy, at-pauseSlack, at)
}

// sinceStart converts the time of a log line, in Unix seconds, to the time since the start of the event log.
func (r *runner) sinceStart(logTime float64) time.Duration {
	return seconds(logTime - float64(r.log.start.UnixNano())/1e9)
}
