// Package invariant checks the operations of the data path against the guarantees that the proxy gives to clients and
// upstreams, and counts the violations. The package makes no decisions and shares no code with package lifecycle, which
// makes them, so that it detects errors in that package.
package invariant

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Invariant identifies a guarantee that is checked.
type Invariant uint8

// The invariants.
const (
	// NoAttemptAfterEnd: no attempt begins more than MaxLateStart after the final reply of its request was decided or its
	// client left.
	NoAttemptAfterEnd Invariant = iota
	// NoAttemptToDraining: no attempt begins more than MaxDrainDelay after its endpoint was reported as draining or
	// departed.
	NoAttemptToDraining
	// RetryInDedupWindow: no retry of a deduplicated request begins more than MaxDeadlineExcess after the end of the
	// window in which upstreams drop duplicates.
	RetryInDedupWindow
	// ToldDeadlineHolds: no attempt is sent with a deadline more than MaxDeadlineExcess after its client's deadline.
	ToldDeadlineHolds
	// OneFinalReply: no request has a second final reply.
	OneFinalReply
	// NoUnansweredClose: the proxy closes no connection on which requests have no reply, unless the process has reached
	// the end of its drain.
	NoUnansweredClose
	// AttemptsBounded: no request has more attempts than the settings permit, or parallel attempts if the settings forbid
	// them.
	AttemptsBounded
	// ConnectionRested: no attempt is written within MinResponseRest of the last response on its connection.
	ConnectionRested
	// ResponseAttributed: no response on a used connection is believed of a host that is known to send surplus responses, or
	// that a request that must not be executed twice was not executed.
	ResponseAttributed
	// DecisionOnLiveAttempt: no decision to cancel an attempt, or to begin the reply with its response, is about an attempt that
	// has ended.
	DecisionOnLiveAttempt
	numInvariants
)

// NumInvariants is the number of invariants.
const NumInvariants = int(numInvariants)

var names = [numInvariants]string{
	NoAttemptAfterEnd:     "no_attempt_after_end",
	NoAttemptToDraining:   "no_attempt_to_draining",
	RetryInDedupWindow:    "retry_in_dedup_window",
	ToldDeadlineHolds:     "told_deadline_holds",
	OneFinalReply:         "one_final_reply",
	NoUnansweredClose:     "no_unanswered_close",
	AttemptsBounded:       "attempts_bounded",
	ConnectionRested:      "connection_rested",
	ResponseAttributed:    "response_attributed",
	DecisionOnLiveAttempt: "decision_on_live_attempt",
}

// String returns the invariant's name in logs and metrics.
func (i Invariant) String() string {
	if i >= numInvariants {
		return "unknown"
	}
	return names[i]
}

// Tolerances of the invariants.
const (
	MaxLateStart      = 100 * time.Millisecond
	MaxDrainDelay     = 300 * time.Millisecond
	MaxDeadlineExcess = 150 * time.Millisecond
	MinResponseRest   = 50 * time.Millisecond // the time by which a surplus response may be late and must harm nobody
)

// Violation describes one violation of an invariant.
type Violation struct {
	Invariant Invariant
	RequestID string // empty if the violation does not belong to one request
	Detail    string // description of the violation
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%v: request %q: %s", v.Invariant, v.RequestID, v.Detail)
}

// Checker counts and reports violations. Its methods may be called from any goroutine. On a nil Checker they do nothing.
type Checker struct {
	report func(Violation) // nil: violations are only counted
	counts [numInvariants]atomic.Int64
}

// NewChecker returns a checker that calls report for each violation. report must not block; if it is nil, violations are
// only counted.
func NewChecker(report func(Violation)) *Checker { return &Checker{report: report} }

// Count returns the number of violations of an invariant.
func (c *Checker) Count(i Invariant) int64 {
	if c == nil {
		return 0
	}
	return c.counts[i].Load()
}

// Total returns the number of violations of all invariants.
func (c *Checker) Total() (total int64) {
	for i := range numInvariants {
		total += c.Count(i)
	}
	return total
}

// violate counts and reports a violation.
func (c *Checker) violate(i Invariant, id []byte, format string, args ...any) {
	c.counts[i].Add(1)
	if c.report != nil {
		c.report(Violation{i, string(id), fmt.Sprintf(format, args...)})
	}
}

// AttemptStart describes an attempt whose last byte was written.
type AttemptStart struct {
	RequestID        []byte
	At               time.Time     // time at which the last byte was written
	RequestEnded     time.Time     // time at which the final reply was decided or the client left; zero: neither
	EndpointDraining time.Time     // time since which the endpoint is known to be draining or departed; zero: neither
	DedupWindowEnd   time.Time     // end of the deduplication window; zero: no earlier attempt may have run
	SentDeadline     time.Time     // At plus the wait that was sent to the upstream
	ClientDeadline   time.Time     // end of the client's wait; zero: without limit
	ConnectionRest   time.Duration // time from the last response on the connection to the first byte of the attempt; 0: it is the first attempt
}

// AttemptStarted checks an attempt that was written completely.
func (c *Checker) AttemptStarted(a *AttemptStart) {
	if c == nil {
		return
	}
	if late := a.At.Sub(a.RequestEnded); !a.RequestEnded.IsZero() && late > MaxLateStart {
		c.violate(NoAttemptAfterEnd, a.RequestID, "begun %v after the request ended", late)
	}
	if late := a.At.Sub(a.EndpointDraining); !a.EndpointDraining.IsZero() && late > MaxDrainDelay {
		c.violate(NoAttemptToDraining, a.RequestID, "begun %v after the endpoint became unready", late)
	}
	if late := a.At.Sub(a.DedupWindowEnd); !a.DedupWindowEnd.IsZero() && late > MaxDeadlineExcess {
		c.violate(RetryInDedupWindow, a.RequestID, "retried %v after the deduplication window", late)
	}
	if excess := a.SentDeadline.Sub(a.ClientDeadline); !a.ClientDeadline.IsZero() && excess > MaxDeadlineExcess {
		c.violate(ToldDeadlineHolds, a.RequestID, "sent with a deadline %v after the client's", excess)
	}
	if a.ConnectionRest != 0 && a.ConnectionRest < MinResponseRest {
		c.violate(ConnectionRested, a.RequestID, "written %v after the last response on its connection", a.ConnectionRest)
	}
}

// BelievedResponse describes a response that was taken for the response to a request.
type BelievedResponse struct {
	RequestID      []byte
	Used           bool // the connection had carried another request before
	HostDistrusted bool // the host is known to send surplus responses
	NotExecuted    bool // it was taken to say that the request was not executed
	Repeatable     bool // the request may be executed more than once
}

// ResponseBelieved checks a response that was taken for the response to a request.
func (c *Checker) ResponseBelieved(r *BelievedResponse) {
	switch {
	case c == nil || !r.Used:
	case r.HostDistrusted:
		c.violate(ResponseAttributed, r.RequestID, "believed on a used connection of a distrusted host")
	case r.NotExecuted && !r.Repeatable:
		c.violate(ResponseAttributed, r.RequestID, "taken as not executed on a used connection")
	}
}

// AttemptDecided checks the attempts of a request when the balancer starts another one. attempts and inFlight include the
// new attempt. If maxAttempts is 0, their number is not checked. parallel reports whether the settings permit parallel
// attempts.
func (c *Checker) AttemptDecided(id []byte, attempts, maxAttempts, inFlight int, parallel bool) {
	if c == nil {
		return
	}
	if maxAttempts > 0 && attempts > maxAttempts {
		c.violate(AttemptsBounded, id, "attempt %d of %d", attempts, maxAttempts)
	}
	if inFlight > 1 && !parallel {
		c.violate(AttemptsBounded, id, "%d parallel attempts", inFlight)
	}
}

// AttemptDecision checks a decision of the balancer about an attempt that was sent. ended reports whether the attempt has ended.
func (c *Checker) AttemptDecision(id []byte, attempt int, ended bool) {
	if c != nil && ended {
		c.violate(DecisionOnLiveAttempt, id, "a decision about attempt %d, which has ended", attempt)
	}
}

// ReplyDecided checks a final reply. replies is the number of final replies of the request, including this one.
func (c *Checker) ReplyDecided(id []byte, replies int) {
	if c != nil && replies > 1 {
		c.violate(OneFinalReply, id, "%d final replies", replies)
	}
}

// ClientConnClosed checks a connection that the proxy has closed. pendingIDs are the IDs of its requests without a reply.
// excused is true if the client has closed the connection, the connection has failed, or the process has reached the end
// of its drain.
func (c *Checker) ClientConnClosed(pendingIDs [][]byte, excused bool, reason string) {
	if c == nil || excused {
		return
	}
	for _, id := range pendingIDs {
		c.violate(NoUnansweredClose, id, "connection closed: %s", reason)
	}
}
