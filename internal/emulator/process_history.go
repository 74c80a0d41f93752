package emulator

import (
	"slices"
	"time"
)

// processHistory is when proxy processes were killed and paused.
type processHistory struct {
	kills  map[int][]time.Duration // by proxy; one that was told to end has to answer first, and counts as running
	pauses map[int][]time.Duration // by proxy, the begins and ends in turn
}

// newProcessHistory collects the history before the events are checked, since connections are seen to end before their process is.
func newProcessHistory(events []Event) *processHistory {
	h := &processHistory{kills: map[int][]time.Duration{}, pauses: map[int][]time.Duration{}}
	for _, e := range events {
		switch {
		case e.Kind == ProcessPaused:
			h.pauses[e.Proxy] = append(h.pauses[e.Proxy], e.At)
		case e.Kind == ProcessEnded && e.Note == endKilled:
			h.kills[e.Proxy] = append(h.kills[e.Proxy], e.At)
		}
	}
	return h
}

// wasPaused reports whether a proxy was paused at some time within a span: it could answer nothing then.
func (h *processHistory) wasPaused(proxy int, from, to time.Duration) bool {
	p := h.pauses[proxy]
	for i := 0; i < len(p); i += 2 {
		if p[i] <= to && (i+1 == len(p) || p[i+1] >= from) {
			return true
		}
	}
	return false
}

// wasKilled reports whether a proxy was killed within a span: what it held then is lost.
func (h *processHistory) wasKilled(proxy int, from, to time.Duration) bool {
	return slices.ContainsFunc(h.kills[proxy], func(at time.Duration) bool { return at >= from && at <= to })
}
