package proxy

import (
	"strconv"

	"woodproxy/balancer"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// What is kept of a request, and how often it is logged.
const (
	maxTraceEvents = 16 // of a request; later ones are counted only
	tracesPerSec   = 10
	traceBurst     = 20
)

// traceKind is a state transition of a request.
type traceKind uint8

const (
	traceReceived traceKind = iota
	traceSent               // an attempt was handed to its host
	traceEnded              // an attempt has ended
	traceCancelled
	traceCompleted // the final reply is the upstream's
	traceShed
	traceFailed
	traceClientGone
	numTraceKinds
)

var traceKindNames = [numTraceKinds]string{
	"received", "sent", "ended", "cancelled", "completed", "shed", "failed", "client_gone",
}

// traceEvent is one transition.
type traceEvent struct {
	at      balancer.Time
	kind    traceKind
	host    int // index, of attempts
	reason  balancer.Reason
	outcome balancer.Outcome // traceEnded
}

// requestTrace is what has become of a request. Only the router's goroutine uses it.
type requestTrace struct {
	events   [maxTraceEvents]traceEvent
	n        int
	omitted  int
	abnormal bool // it is logged whatever the level
}

func (t *requestTrace) add(event traceEvent) {
	if t.n == len(t.events) {
		t.omitted++
		return
	}
	t.events[t.n] = event
	t.n++
}

// outcomeNames are the texts of outcomes in traces.
var outcomeNames = [balancer.CacheMiss + 1]string{
	"completed", "server_error", "overloaded", "timed_out", "connect_failed", "reset", "cancelled", "not_sent", "cache_miss",
}

// newTraceLimiter bounds how many traces a second are logged.
func newTraceLimiter() *rate.Limiter { return rate.NewLimiter(tracesPerSec, traceBurst) }

// recordEnd adds the end of an attempt. Requests whose attempt timed out or was reset are logged.
func (t *requestTrace) recordEnd(at balancer.Time, host int, outcome balancer.Outcome) {
	t.add(traceEvent{at: at, kind: traceEnded, host: host, outcome: outcome})
	t.abnormal = t.abnormal || outcome == balancer.TimedOut || outcome == balancer.Reset
}

// logTrace logs what has become of a request: of one that is abnormal, or all at debug level. Each line is one
// request's; the figures before the events are milliseconds since its last byte was read.
func (r *Router) logTrace(s *requestSlot) {
	level := zap.DebugLevel
	if s.trace.abnormal {
		level = zap.InfoLevel
		if !r.traceLimiter.Allow() {
			r.counters.TracesOmitted.Add(1)
			level = zap.DebugLevel
		}
	}
	entry := r.log.Check(level, "request trace")
	if entry == nil {
		return
	}
	events := make([]string, 0, s.trace.n)
	for i := range s.trace.events[:s.trace.n] {
		events = append(events, r.describeTraceEvent(&s.trace.events[i], s.trace.events[0].at))
	}
	entry.Write(zap.ByteString("id", s.request.id), zap.String("route", s.request.route), zap.Strings("events", events),
		zap.Int("omitted", s.trace.omitted))
}

func (r *Router) describeTraceEvent(e *traceEvent, start balancer.Time) string {
	text := strconv.FormatFloat(float64(e.at-start)/ticksPerMillisecond, 'f', 1, 64) + " " + traceKindNames[e.kind]
	switch e.kind {
	case traceSent:
		text += " " + r.hostName(e.host) + " " + e.reason.String()
	case traceEnded:
		text += " " + r.hostName(e.host) + " " + outcomeNames[e.outcome]
	case traceCancelled:
		text += " " + r.hostName(e.host)
	case traceShed, traceFailed:
		text += " " + e.reason.String()
	}
	return text
}

// hostName returns the name of a host that may be gone by now.
func (r *Router) hostName(index int) string {
	if h := r.hosts[index]; h != nil {
		return h.name
	}
	return strconv.Itoa(index)
}
