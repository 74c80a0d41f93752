// Package invariant checks, on what the data path has done, the promises that it makes to clients and upstreams, and
// counts those that it broke. It decides nothing and shares no code with package lifecycle, which decides: a mistake
// there is seen here.
package invariant

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Invariant is a promise that is checked.
type Invariant uint8

// The invariants.
const (
	// NoAttemptAfterEnd: no attempt begins over MaxLateStart after its request had its final reply or its client left.
	NoAttemptAfterEnd Invariant = iota
	// NoAttemptToDraining: no attempt begins over MaxDrainDelay after its endpoint was reported as draining or gone.
	NoAttemptToDraining
	// RetryInDedupWindow: no retry of a deduplicated request begins after the window in which duplicates are dropped.
	RetryInDedupWindow
	// ToldDeadlineHolds: no attempt is told more than MaxDeadlineExcess beyond what its client has left.
	ToldDeadlineHolds
	// OneFinalReply: no request gets a second final reply.
	OneFinalReply
	// NoUnansweredClose: no connection is closed by the proxy under requests that have no reply, unless the process has
	// reached the end of its drain.
	NoUnansweredClose
	// AttemptsBounded: no request has more attempts than the settings allow, nor two at once where they forbid it.
	AttemptsBounded
	numInvariants
)

// NumInvariants is the number of invariants.
const NumInvariants = int(numInvariants)

var names = [numInvariants]string{
	NoAttemptAfterEnd:   "no_attempt_after_end",
	NoAttemptToDraining: "no_attempt_to_draining",
	RetryInDedupWindow:  "retry_in_dedup_window",
	ToldDeadlineHolds:   "told_deadline_holds",
	OneFinalReply:       "one_final_reply",
	NoUnansweredClose:   "no_unanswered_close",
	AttemptsBounded:     "attempts_bounded",
}

// String returns the invariant's name in logs and metrics.
func (i Invariant) String() string {
	if i >= numInvariants {
		return "unknown"
	}
	return names[i]
}

// What the invariants allow.
const (
	MaxLateStart      = 100 * time.Millisecond
	MaxDrainDelay     = 300 * time.Millisecond
	MaxDeadlineExcess = 150 * time.Millisecond
)

// Violation is a broken invariant.
type Violation struct {
	Invariant Invariant
	RequestID string // "": it is not one request's
	Detail    string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%v: request %q: %s", v.Invariant, v.RequestID, v.Detail)
}

// Checker counts and reports violations. Its methods may be called from any goroutine, and on nil.
type Checker struct {
	report func(Violation) // nil: violations are counted only
	counts [numInvariants]atomic.Int64
}

// NewChecker returns a checker that reports each violation, which must not block.
func NewChecker(report func(Violation)) *Checker { return &Checker{report: report} }

// Count returns how often an invariant was broken.
func (c *Checker) Count(i Invariant) int64 {
	if c == nil {
		return 0
	}
	return c.counts[i].Load()
}

// Total returns how often any invariant was broken.
func (c *Checker) Total() (total int64) {
	for i := range numInvariants {
		total += c.Count(i)
	}
	return total
}

func (c *Checker) violate(i Invariant, id []byte, format string, args ...any) {
	c.counts[i].Add(1)
	if c.report != nil {
		c.report(Violation{i, string(id), fmt.Sprintf(format, args...)})
	}
}

// AttemptStart is an attempt whose last byte was written.
type AttemptStart struct {
	RequestID        []byte
	At               time.Time
	RequestEnded     time.Time // when the request had its final reply or its client left; zero: neither
	EndpointDraining time.Time // since when the endpoint is known to drain or to be gone; zero: it is not
	DedupWindowEnd   time.Time // zero: it is the first attempt that may run
	ToldUntil        time.Time // until when the upstream was told to work, by the time that it was told
	ClientUntil      time.Time // until when the client waits; zero: without limit
}

// AttemptStarted checks an attempt that has begun.
func (c *Checker) AttemptStarted(a *AttemptStart) {
	if c == nil {
		return
	}
	if late := a.At.Sub(a.RequestEnded); !a.RequestEnded.IsZero() && late > MaxLateStart {
		c.violate(NoAttemptAfterEnd, a.RequestID, "begun %v after its end", late)
	}
	if late := a.At.Sub(a.EndpointDraining); !a.EndpointDraining.IsZero() && late > MaxDrainDelay {
		c.violate(NoAttemptToDraining, a.RequestID, "begun %v after the endpoint was not ready", late)
	}
	if late := a.At.Sub(a.DedupWindowEnd); !a.DedupWindowEnd.IsZero() && late > MaxDeadlineExcess {
		c.violate(RetryInDedupWindow, a.RequestID, "retried %v after the window", late)
	}
	if excess := a.ToldUntil.Sub(a.ClientUntil); !a.ClientUntil.IsZero() && excess > MaxDeadlineExcess {
		c.violate(ToldDeadlineHolds, a.RequestID, "told %v more than the client has left", excess)
	}
}

// AttemptDecided checks the attempts of a request as the balancer has one more begun.
func (c *Checker) AttemptDecided(id []byte, attempts, maxAttempts, inFlight int, parallel bool) {
	if c == nil {
		return
	}
	if maxAttempts > 0 && attempts > maxAttempts {
		c.violate(AttemptsBounded, id, "attempt %d of %d", attempts, maxAttempts)
	}
	if inFlight > 1 && !parallel {
		c.violate(AttemptsBounded, id, "%d attempts at once", inFlight)
	}
}

// ReplyDecided checks a final reply; replies is how many the request has with it.
func (c *Checker) ReplyDecided(id []byte, replies int) {
	if c != nil && replies > 1 {
		c.violate(OneFinalReply, id, "%d final replies", replies)
	}
}

// ClientConnClosed checks a connection that the proxy has closed for a reason, with requests that have no reply.
// excused is set where the client has gone, its connection has failed, or the process is at the end of its drain.
func (c *Checker) ClientConnClosed(pendingIDs [][]byte, excused bool, reason string) {
	if c == nil || excused {
		return
	}
	for _, id := range pendingIDs {
		c.violate(NoUnansweredClose, id, "connection closed: %s", reason)
	}
}
