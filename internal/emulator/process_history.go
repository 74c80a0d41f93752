package emulator

import (
	"slices"
	"time"
)

// processHistory is when proxy processes were killed, paused and crowded.
type processHistory struct {
	excused map[int]float64         // by proxy, broken invariants that it logged and a pause explains
	crowds  map[int][]time.Duration // by proxy, the begins and ends in turn
	kills   map[int][]time.Duration // by proxy; one that was told to end has to answer first, and counts as running
	pauses  map[int][]time.Duration // by proxy, the begins and ends in turn
}

// newProcessHistory collects the history before the events are checked, since connections are seen to end before their process is.
func newProcessHistory(events []Event) *processHistory {
	h := &processHistory{excused: map[int]float64{}, crowds: map[int][]time.Duration{}, kills: map[int][]time.Duration{}, pauses: map[int][]time.Duration{}}
	crowds := map[int]int{} // by proxy, how many are there
	for _, e := range events {
		switch {
		case e.Kind == ProcessPaused:
			h.pauses[e.Proxy] = append(h.pauses[e.Proxy], e.At)
		case e.Kind == LogReported && e.Note == noteExcused:
			h.excused[e.Proxy] += e.Figure
		case e.Kind == CrowdChanged:
			h.observeCrowd(e, crowds)
		case e.Kind == ProcessEnded && e.Note == endKilled:
			h.kills[e.Proxy] = append(h.kills[e.Proxy], e.At)
		}
	}
	return h
}

// observeCrowd notes when the first crowd has come to a proxy and the last one has left it.
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

// wasPaused reports whether a proxy was paused at some time within a span: it could answer nothing then.
func (h *processHistory) wasPaused(proxy int, from, to time.Duration) bool {
	return overlapsSpans(h.pauses[proxy], from, to)
}

// wasCrowded reports whether clients that say nothing took a proxy's descriptors at some time within a span: new
// connections may be closed unread then.
func (h *processHistory) wasCrowded(proxy int, from, to time.Duration) bool {
	return overlapsSpans(h.crowds[proxy], from, to)
}

// overlapsSpans reports whether one of some spans, given by their begins and ends in turn, overlaps another one.
func overlapsSpans(spans []time.Duration, from, to time.Duration) bool {
	for i := 0; i < len(spans); i += 2 {
		if spans[i] <= to && (i+1 == len(spans) || spans[i+1] >= from) {
			return true
		}
	}
	return false
}

// wasKilled reports whether a proxy was killed within a span: what it held then is lost.
func (h *processHistory) wasKilled(proxy int, from, to time.Duration) bool {
	return slices.ContainsFunc(h.kills[proxy], func(at time.Duration) bool { return at >= from && at <= to })
}
