package emulator

import (
	"time"
)

// absenceCheck checks FreshAbsenceRule.
type absenceCheck struct {
	*findings
	processes    *processHistory
	scenario     *Scenario
	keys         map[string]string        // by request
	firstWritten map[string]time.Duration // by key
	maxStaleness time.Duration            // longest time for which a key was reported absent after its write
}

func (a *absenceCheck) observeWrite(e Event) {
	if _, ok := a.firstWritten[a.keys[e.RequestID]]; !ok {
		a.firstWritten[a.keys[e.RequestID]] = e.At
	}
}

// observeAbsent checks a reply that reports an absent key, to a request that was sent at sentAt.
func (a *absenceCheck) observeAbsent(e Event, sentAt time.Duration) {
	key, limit := a.keys[e.RequestID], a.scenario.maxAbsentStaleness()
	written, ok := a.firstWritten[key]
	if !ok && hashedFloat("missing", key) >= a.scenario.NegativeCache.AbsentFraction {
		a.violate(FreshAbsenceRule, e, "key %s of request %s has always existed and is reported absent", key, e.RequestID)
		return
	}
	staleness := sentAt - written
	if !ok || staleness <= 0 {
		return
	}
	a.maxStaleness = max(a.maxStaleness, staleness)
	if staleness > limit && !a.processes.wasPaused(e.Proxy, written, e.At) {
		a.violate(FreshAbsenceRule, e, "key %s of request %s is reported absent %v after it was written, limit %v", key, e.RequestID, staleness, limit)
	}
}
