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
	asked     map[string]time.Duration // by request, when its client last sent it
	ended     map[string]time.Duration // by request, when its client left or had its answer
	// delayed is set where links hold back what is on its way: when an attempt arrives does not tell when it began.
	delayed bool
}

func (a *attemptCheck) observeAsked(e Event) {
	a.asked[e.RequestID] = e.At
	delete(a.ended, e.RequestID)
}

func (a *attemptCheck) observeEnd(e Event) {
	if _, ended := a.ended[e.RequestID]; !ended {
		a.ended[e.RequestID] = e.At
	}
}

func (a *attemptCheck) observeArrival(e Event) {
	if a.delayed {
		return
	}
	if end, ended := a.ended[e.RequestID]; ended && !a.processes.wasPaused(e.Proxy, end, e.At) {
		if late := e.At - end; late > lateAttemptGrace+timingSlack {
			a.violate(LateAttemptRule, e, "node %s took an attempt of request %s %v after its end", e.Node, e.RequestID, late)
		}
	}
	asked, known := a.asked[e.RequestID]
	route := a.routes[e.RequestID]
	if !known || route.TimeoutMS == 0 || a.processes.wasPaused(e.Proxy, asked, e.At) {
		return
	}
	excess := e.At + millis(e.Figure) - (asked + millis(route.TimeoutMS))
	if excess > toldDeadlineSlack+timingSlack {
		a.violate(ToldDeadlineRule, e, "node %s was told %.0f ms for request %s, %v more than its client waits", e.Node, e.Figure, e.RequestID, excess)
	}
}
