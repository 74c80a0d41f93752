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

// Metrics of proxies that are looked at once all clients have gone. All but the goroutines have to be zero then.
const (
	counterGoroutines = "woodproxy_goroutines"
	counterHeld       = "woodproxy_held"
	counterBytes      = "woodproxy_bytes"
	counterStreams    = "woodproxy_passing"
	counterViolations = "woodproxy_invariant_violations_total" // of all invariants together
	counterPanics     = "woodproxy_panics_total"
)

var residueCounters = []string{counterGoroutines, counterHeld, counterBytes, counterStreams, counterViolations, counterPanics}

const (
	residueTimeout  = 3 * time.Second // for attempts that are still in flight
	residueInterval = 100 * time.Millisecond
	scrapeTimeout   = time.Second
)

// Beginnings of messages that no proxy may log.
var forbiddenMessages = []string{messageInvariant, "panic"}

// reportResidue records what running proxies still hold once all clients have gone. It waits for a while for what is on
// its way to its end. Proxies without an address for operators are passed over.
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

// scrape returns the metrics of a proxy that are looked at, those with labels added up; nil where it does not answer.
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
	defer func() { _ = response.Body.Close() }() // it was only read
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

// reportLogs records what no proxy may log.
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

// sentDeadlineInvariant is the invariant that a proxy finds broken where it was stopped between the writing of an attempt and
// the look at the clock behind it. The operators allow for 0.15 s there, and pauses last longer.
const sentDeadlineInvariant = "told_deadline_holds"

// noteExcused is the note of LogReported events that count what a pause explains.
const noteExcused = "excused by a pause"

// pauseSlack is how long after the end of a pause a process may log what came of it.
const pauseSlack = 100 * time.Millisecond

// isExcusedByPause reports whether a line tells of a deadline that a pause of the proxy has outdated.
func (r *runner) isExcusedByPause(proxy int, line *logLine, processes *processHistory) bool {
	at := time.Duration((line.At - float64(r.log.start.UnixNano())/1e9) * float64(time.Second))
	return line.Invariant == sentDeadlineInvariant && processes.wasPaused(proxy, at-pauseSlack, at)
}
