package proxy

import (
	"fmt"
	"strconv"

	"woodproxy/balancer"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Limits of request traces.
const (
	maxTraceEvents = 16 // recorded events per request; later events are only counted
	tracesPerSec   = 10 // logged traces of abnormal requests per second
	traceBurst     = 20
)

// traceKind is a state transition of a request.
type traceKind uint8

const (
	traceReceived   traceKind = iota
	traceSent                 // an attempt was passed to its host
	traceResponding           // the head of the response to an attempt has been read, and the value is still to come
	traceDelivered            // the reply begins with the head of an attempt's response, since the request is out of time
	traceEnded                // an attempt has ended
	traceCancelled
	traceCompleted // the final reply carries the upstream's response
	traceShed
	traceFailed
	traceClientGone
	numTraceKinds
)

var traceKindNames = [numTraceKinds]string{
	"received", "sent", "responding", "delivered", "ended", "cancelled", "completed", "shed", "failed", "client_gone",
}

// traceEvent is one state transition of a request or of one of its attempts.
type traceEvent struct {
	at          balancer.Time
	kind        traceKind
	host        int // index of the attempt's host
	reason      balancer.Reason
	outcome     balancer.Outcome // for traceEnded
	conn        connUse          // for traceEnded
	unconfirmed bool             // for traceEnded: the attempt may have run, whatever the outcome says
}

// requestTrace is the history of a request. Only the router's goroutine uses it.
type requestTrace struct {
	events   [maxTraceEvents]traceEvent
	n        int  // number of recorded events
	omitted  int  // number of events that were not recorded
	abnormal bool // the trace is logged at info level instead of debug level, subject to the rate limit
}

func (t *requestTrace) add(event traceEvent) {
	if t.n == len(t.events) {
		t.omitted++
		return
	}
	t.events[t.n] = event
	t.n++
}

// outcomeNames are the names of outcomes in traces, in the order of the balancer's outcomes.
var outcomeNames = [balancer.CacheMiss + 1]string{
	"completed", "server_error", "overloaded", "timed_out", "connect_failed", "reset", "cancelled", "not_sent", "cache_miss",
}

// newTraceLimiter returns the rate limiter for traces of abnormal requests.
func newTraceLimiter() *rate.Limiter { return rate.NewLimiter(tracesPerSec, traceBurst) }

// recordEnd records the end of an attempt. An attempt that timed out or was reset makes the request abnormal.
func (t *requestTrace) recordEnd(at balancer.Time, host int, result attemptResult) {
	t.add(traceEvent{at: at, kind: traceEnded, host: host, outcome: result.outcome, conn: result.conn, unconfirmed: result.unconfirmed})
	t.abnormal = t.abnormal || result.outcome == balancer.TimedOut || result.outcome == balancer.Reset
}

// logTrace logs the trace of a request in one line: at info level if the request is abnormal and the rate limit permits,
// otherwise at debug level. The number before each event is the time in milliseconds since the request's last byte was
// read.
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
		text += " " + r.hostName(e.host) + " " + outcomeNames[e.outcome] + e.conn.String()
		if e.unconfirmed {
			text += " unconfirmed"
		}
	case traceCancelled, traceResponding, traceDelivered:
		text += " " + r.hostName(e.host)
	case traceShed, traceFailed:
		text += " " + e.reason.String()
	}
	return text
}

// String returns the connection as the end of the text of a trace event: its number and how many responses it had carried
// before, or that it was fresh.
func (c connUse) String() string {
	switch {
	case c.id == 0:
		return ""
	case c.served == 0:
		return fmt.Sprintf(" connection %d fresh", c.id)
	}
	return fmt.Sprintf(" connection %d after %d", c.id, c.served)
}

// hostName returns the name of a host, or its index if the host has departed.
func (r *Router) hostName(index int) string {
	if h := r.hosts[index]; h != nil {
		return h.name
	}
	return strconv.Itoa(index)
}
