package emulator

import (
	"slices"
	"time"
)

// processHistory records when proxy processes were killed, paused and crowded. Times count from the start of the event log.
type processHistory struct {
	excused map[int]float64         // by proxy, the number of violations in its log that a pause explains
	crowds  map[int][]time.Duration // by proxy, alternating starts and ends
	ends    map[int][]time.Duration // by proxy, of any cause
	kills   map[int][]time.Duration // by proxy; graceful ends are left out, since a draining process must still reply
	pauses  map[int][]time.Duration // by proxy, alternating starts and ends
}

// newProcessHistory collects the history from all events. This happens before events are checked, because the end of a
// connection is recorded before the end of its process.
func newProcessHistory(events []Event) *processHistory {
	h := &processHistory{
		excused: map[int]float64{}, crowds: map[int][]time.Duration{}, ends: map[int][]time.Duration{}, kills: map[int][]time.Duration{},
		pauses: map[int][]time.Duration{},
	}
	crowds := map[int]int{} // by proxy, the number of present crowds
	for _, e := range events {
		switch {
		case e.Kind == ProcessPaused:
			h.observePause(e)
		case e.Kind == LogReported && e.Note == noteExcused:
			h.excused[e.Proxy] += e.Figure
		case e.Kind == CrowdChanged:
			h.observeCrowd(e, crowds)
		case e.Kind == ProcessEnded:
			h.ends[e.Proxy] = append(h.ends[e.Proxy], e.At)
			if e.Note == endKilled {
				h.kills[e.Proxy] = append(h.kills[e.Proxy], e.At)
			}
		}
	}
	return h
}

// observePause records the start or the end of a pause. Pauses of the same proxy may overlap: a SIGSTOP does not affect a
// stopped process, and the first SIGCONT continues it.
func (h *processHistory) observePause(e Event) {
	wasPaused := len(h.pauses[e.Proxy])%2 == 1
	if ends := e.Note == pauseEnds; ends == wasPaused {
		h.pauses[e.Proxy] = append(h.pauses[e.Proxy], e.At)
	}
}

// observeCrowd records the times at which the first crowd arrives at a proxy and the last one leaves. It updates the number
// of present crowds.
func (h *processHistory) observeCrowd(e Event, crowds map[int]int) {
	change, others := 1, crowds[e.Proxy]
	if e.Note == crowdEnds {
		change, others = -1, crowds[e.Proxy]-1
	}
	crowds[e.Proxy] += change
	if others == 0 {
		h.crowds[e.Proxy] = append(h.crowds[e.Proxy], e.At)
	}
}

// wasPaused reports whether a proxy was paused at any time within a span. A paused proxy can't reply.
func (h *processHistory) wasPaused(proxy int, from, to time.Duration) bool {
	return overlapsSpans(h.pauses[proxy], from, to)
}

// wasCrowded reports whether idle clients occupied the descriptors of a proxy at any time within a span. The proxy may then
// close new connections without reading from them.
func (h *processHistory) wasCrowded(proxy int, from, to time.Duration) bool {
	return overlapsSpans(h.crowds[proxy], from, to)
}

// overlapsSpans reports whether any of the spans, given by alternating starts and ends, overlaps the span between from and
// to. The last span may lack an end.
func overlapsSpans(spans []time.Duration, from, to time.Duration) bool {
	for i := 0; i < len(spans); i += 2 {
		if spans[i] <= to && (i+1 == len(spans) || spans[i+1] >= from) {
			return true
		}
	}
	return false
}

// wasKilled reports whether a proxy was killed within a span. A kill loses everything that the process held.
func (h *processHistory) wasKilled(proxy int, from, to time.Duration) bool {
	return containsWithin(h.kills[proxy], from, to)
}

// ended reports whether a process of a proxy ended within a span, by a kill, a signal or a crash.
func (h *processHistory) ended(proxy int, from, to time.Duration) bool {
	return containsWithin(h.ends[proxy], from, to)
}

func containsWithin(times []time.Duration, from, to time.Duration) bool {
	return slices.ContainsFunc(times, func(at time.Duration) bool { return at >= from && at <= to })
}
