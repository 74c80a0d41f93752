package emulator

import "time"

// What the rules on attempts allow, beside timingSlack.
const (
	lateAttemptGrace  = 100 * time.Millisecond // from a request's end to the begin of an attempt
	toldDeadlineSlack = 150 * time.Millisecond // by which an attempt's deadline may be beyond its client's
)

// attemptCheck checks LateAttemptRule and ToldDeadlineRule.
type attemptCheck struct {
	*findings
	processes *processHistory
	routes    map[string]Route         // by request
	sentAt     map[string]time.Duration // by request, when its client last sent it
	endedAt     map[string]time.Duration // by request, when its client left or had its answer
	// linksDelayed is set where links hold back what is on its way: when an attempt arrives does not tell when it began.
	linksDelayed bool
}

func (a *attemptCheck) observeRequest(e Event) {
	a.sentAt[e.RequestID] = e.At
	delete(a.endedAt, e.RequestID)
}

func (a *attemptCheck) observeEnd(e Event) {
	if _, ended := a.endedAt[e.RequestID]; !ended {
		a.endedAt[e.RequestID] = e.At
	}
}

func (a *attemptCheck) observeArrival(e Event) {
	if a.linksDelayed {
		return
	}
	if end, ended := a.endedAt[e.RequestID]; ended && !a.processes.wasPaused(e.Proxy, end, e.At) {
		if delay := e.At - end; delay > lateAttemptGrace+timingSlack {
			a.violate(LateAttemptRule, e, "node %s took an attempt of request %s %v after its end", e.Node, e.RequestID, delay)
		}
	}
	sentAt, known := a.sentAt[e.RequestID]
	route := a.routes[e.RequestID]
	if !known || route.TimeoutMS == 0 || a.processes.wasPaused(e.Proxy, sentAt, e.At) {
		return
	}
	excess := e.At + millis(e.Figure) - (sentAt + millis(route.TimeoutMS))
	if excess > toldDeadlineSlack+timingSlack {
		a.violate(ToldDeadlineRule, e, "node %s was told %.0f ms for request %s, %v more than its client waits", e.Node, e.Figure, e.RequestID, excess)
	}
}
