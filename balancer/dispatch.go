package balancer

import (
	"fmt"
	"slices"
)

// begin starts the handling of an event.
func (b *Balancer) begin(now Time) { b.now, b.decisions = now, b.decisions[:0] }

// applyRules applies rules until none matches and returns the decisions on the event.
func (b *Balancer) applyRules() []Decision {
	for b.applyFirstRule() {
	}
	b.scheduleTimer()
	return b.decisions
}

// applyFirstRule applies the first rule that matches and reports whether there was one.
func (b *Balancer) applyFirstRule() bool {
	stage := selecting
	if b.current != nil {
		stage = deciding
	}
	for i := range rules {
		if r := &rules[i]; r.stage == stage && r.matches(b) {
			r.apply(b)
			return true
		}
	}
	return false
}

// scheduleTimer sets the timer unless it already fires early enough.
func (b *Balancer) scheduleTimer() {
	next := b.pollAt
	if len(b.deadlines.entries) > 0 {
		next = min(next, b.deadlines.entries[0].at)
	}
	if b.originQueue.length > 0 && b.origin.nextAttemptAt > b.now {
		next = min(next, b.origin.nextAttemptAt)
	}
	if next < b.timerAt {
		b.timerAt = next
		b.emit(Decision{Action: SetTimer, After: max(next-b.now, 1)})
	}
}

func (b *Balancer) emit(d Decision) { b.decisions = append(b.decisions, d) }

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Decision{Action: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) setCurrent(index int) {
	b.current, b.currentIndex, b.candidate = &b.requests[index], index, notSearched
}

// releaseCurrent ends the decisions on the current request until the next event that concerns it.
func (b *Balancer) releaseCurrent() { b.current = nil }

func (b *Balancer) hasPending() bool { return len(b.pending) > 0 }

func (b *Balancer) selectPending() {
	b.setCurrent(b.pending[0])
	b.pending = slices.Delete(b.pending, 0, 1)
}

func (b *Balancer) hasExpiredDeadline() bool {
	return len(b.deadlines.entries) > 0 && b.deadlines.entries[0].at <= b.now
}

func (b *Balancer) selectExpired() {
	index := b.deadlines.entries[0].request
	b.clearDeadline(index)
	if b.requests[index].following {
		b.unfollow(index)
	}
	b.setCurrent(index)
}

func (b *Balancer) selectQueued() {
	index := b.originQueue.first()
	b.dequeue(index)
	b.setCurrent(index)
}

// rule is one rule of the decision logic. The first rule of the current stage whose predicate matches is
// applied, and this is repeated until none matches. Predicates do not change decisions; the order of the
// rules matters.
type rule struct {
	stage   stage
	matches func(b *Balancer) bool
	apply   func(b *Balancer)
}

type stage uint8

const (
	selecting stage = iota // no request is selected: select the next one
	deciding               // decide on the current request
)
