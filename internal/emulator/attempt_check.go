package emulator

import "time"

// Tolerances of the rules on attempts, in addition to timingSlack.
const (
	lateAttemptGrace  = 100 * time.Millisecond // from the end of a request to the start of an attempt
	sentDeadlineSlack = 150 * time.Millisecond // by which the deadline sent with an attempt may exceed the client's deadline
)

// attemptCheck checks LateAttemptRule and SentDeadlineRule.
type attemptCheck struct {
	*findings
	processes *processHistory
	routes    map[string]Route         // by request
	sentAt    map[string]time.Duration // by request, time at which its client last sent it
	endedAt   map[string]time.Duration // by request, time at which its client left or received the reply
	// linksDelayed is set if link faults delay traffic between processes. The arrival time of an attempt then says nothing
	// about the time at which it began, and arrivals are not checked.
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
			a.violate(LateAttemptRule, e, "node %s received an attempt of request %s %v after the end of the request", e.Node, e.RequestID, delay)
		}
	}
	sentAt, known := a.sentAt[e.RequestID]
	route := a.routes[e.RequestID]
	if !known || route.TimeoutMS == 0 || a.processes.wasPaused(e.Proxy, sentAt, e.At) {
		return
	}
	excess := e.At + millis(e.Figure) - (sentAt + millis(route.TimeoutMS))
	if excess > sentDeadlineSlack+timingSlack {
		a.violate(SentDeadlineRule, e, "node %s received a deadline of %.0f ms for request %s, %v beyond the deadline of the client", e.Node, e.Figure, e.RequestID, excess)
	}
}
