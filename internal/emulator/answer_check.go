package emulator

import (
	"time"
)

// answerCheck checks FinalAnswerRule.
type answerCheck struct {
	*findings
	processes *processHistory
	routes    map[string]Route // by request
	lastAsked map[string]Seen  // by request
	count     map[string]int   // of answers, by request
	abandoned map[string]bool  // requests whose client left, or whose connection was closed and not asked again
	last      time.Duration    // time of the latest event
}

func (a *answerCheck) observeAsked(e Seen) {
	a.lastAsked[e.ID] = e
	delete(a.abandoned, e.ID)
}

// observeClosed counts one violation for each request.
func (a *answerCheck) observeClosed(e Seen) {
	if a.abandoned[e.ID] || a.count[e.ID] > 0 || e.Note == noteReused || a.processes.wasKilled(e.Proxy, e.At-killWindow, e.At+killWindow) {
		return
	}
	a.abandoned[e.ID] = true
	a.violate(FinalAnswerRule, e, "proxy %d ended the connection under request %s", e.Proxy, e.ID)
}

// observeAnswer reports whether it is the first answer to a request that was asked.
func (a *answerCheck) observeAnswer(e Seen) bool {
	if a.count[e.ID]++; a.count[e.ID] > 1 {
		a.violate(FinalAnswerRule, e, "request %s was answered %d times", e.ID, a.count[e.ID])
		return false
	}
	asked, ok := a.lastAsked[e.ID]
	if !ok {
		a.violate(FinalAnswerRule, e, "request %s was answered and never asked", e.ID)
		return false
	}
	limit := millis(a.routes[e.ID].Overall) + timingSlack
	if elapsed := e.At - asked.At; elapsed > limit && !a.processes.wasPaused(e.Proxy, asked.At, e.At) {
		a.violate(FinalAnswerRule, e, "request %s was answered after %v, later than %v", e.ID, elapsed, limit)
	}
	return true
}

// checkUnanswered looks at the end for requests that had their whole timeout and no answer.
func (a *answerCheck) checkUnanswered() {
	for id, e := range a.lastAsked {
		end := e.At + millis(a.routes[id].Overall) + timingSlack
		if a.count[id] > 0 || a.abandoned[id] || a.last < end {
			continue
		}
		if !a.processes.wasKilled(e.Proxy, e.At-killWindow, end) && !a.processes.wasPaused(e.Proxy, e.At, end) {
			a.violate(FinalAnswerRule, e, "request %s never was answered by proxy %d", id, e.Proxy)
		}
	}
}
