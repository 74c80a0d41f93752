package emulator

import (
	"time"
)

// replyCheck checks FinalAnswerRule.
type replyCheck struct {
	*findings
	processes *processHistory
	routes    map[string]Route // by request
	lastSent map[string]Event // by request
	replyCount     map[string]int   // of answers, by request
	abandoned map[string]bool  // requests whose client left, or whose connection was closed and not asked again
	forwarded map[string]bool  // requests of which an attempt has arrived somewhere
	lastEventAt      time.Duration    // time of the latest event
}

func (a *replyCheck) observeRequest(e Event) {
	a.lastSent[e.RequestID] = e
	delete(a.abandoned, e.RequestID)
}

// observeClosed counts one violation for each request.
func (a *replyCheck) observeClosed(e Event) {
	if a.abandoned[e.RequestID] || a.replyCount[e.RequestID] > 0 || e.Note == noteReused || a.processes.wasKilled(e.Proxy, e.At-killWindow, e.At+killWindow) {
		return
	}
	a.abandoned[e.RequestID] = true
	if !a.forwarded[e.RequestID] && a.processes.wasCrowded(e.Proxy, e.At, e.At) {
		return // it had not been read
	}
	a.violate(FinalAnswerRule, e, "proxy %d ended the connection under request %s", e.Proxy, e.RequestID)
}

// observeReply reports whether it is the first answer to a request that was asked.
func (a *replyCheck) observeReply(e Event) bool {
	if a.replyCount[e.RequestID]++; a.replyCount[e.RequestID] > 1 {
		a.violate(FinalAnswerRule, e, "request %s was answered %d times", e.RequestID, a.replyCount[e.RequestID])
		return false
	}
	asked, ok := a.lastSent[e.RequestID]
	if !ok {
		a.violate(FinalAnswerRule, e, "request %s was answered and never asked", e.RequestID)
		return false
	}
	limit := millis(a.routes[e.RequestID].TimeoutMS) + timingSlack
	if elapsed := e.At - asked.At; elapsed > limit && !a.processes.wasPaused(e.Proxy, asked.At, e.At) {
		a.violate(FinalAnswerRule, e, "request %s was answered after %v, later than %v", e.RequestID, elapsed, limit)
	}
	return true
}

// checkUnanswered looks at the end for requests that had their whole timeout and no answer.
func (a *replyCheck) checkUnanswered() {
	for id, e := range a.lastSent {
		end := e.At + millis(a.routes[id].TimeoutMS) + timingSlack
		if a.replyCount[id] > 0 || a.abandoned[id] || a.lastEventAt < end {
			continue
		}
		if !a.processes.wasKilled(e.Proxy, e.At-killWindow, end) && !a.processes.wasPaused(e.Proxy, e.At, end) {
			a.violate(FinalAnswerRule, e, "request %s never was answered by proxy %d", id, e.Proxy)
		}
	}
}
