package invariant_test

import (
	"slices"
	"testing"
	"time"

	"woodproxy/internal/invariant"
)

// violationCase has a call that violates an invariant once and a call that barely satisfies it.
type violationCase struct {
	invariant       invariant.Invariant
	violates, holds func(*invariant.Checker)
}

// believed returns a call that reports a response to the request "id" as believed.
func believed(response invariant.BelievedResponse) func(*invariant.Checker) {
	response.RequestID = []byte("id")
	return func(c *invariant.Checker) { c.ResponseBelieved(&response) }
}

// startedAt is the time of the attempts that start reports.
var startedAt = time.Unix(1000, 0)

// start returns a call that reports an attempt as started, after change.
func start(change func(*invariant.AttemptStart)) func(*invariant.Checker) {
	return func(c *invariant.Checker) {
		a := &invariant.AttemptStart{RequestID: []byte("id"), At: startedAt}
		change(a)
		c.AttemptStarted(a)
	}
}

// connectionCases returns at least one case for each invariant of upstream connections.
func connectionCases() []violationCase {
	return []violationCase{
		{
			invariant.ConnectionRested,
			start(func(a *invariant.AttemptStart) { a.ConnectionRest = invariant.MinResponseRest - 1 }),
			start(func(a *invariant.AttemptStart) { a.ConnectionRest = invariant.MinResponseRest }),
		},
		{
			invariant.ResponseAttributed,
			believed(invariant.BelievedResponse{Used: true, HostDistrusted: true, Repeatable: true}),
			believed(invariant.BelievedResponse{HostDistrusted: true, NotExecuted: true}),
		},
		{
			invariant.ResponseAttributed,
			believed(invariant.BelievedResponse{Used: true, NotExecuted: true}),
			believed(invariant.BelievedResponse{Used: true, NotExecuted: true, Repeatable: true}),
		},
	}
}

// decision returns a call that reports a decision about an attempt.
func decision(ended bool) func(*invariant.Checker) {
	return func(c *invariant.Checker) { c.AttemptDecision([]byte("id"), 1, ended) }
}

// violationCases returns at least one case for each of the other invariants.
func violationCases() []violationCase {
	at := startedAt
	return []violationCase{
		{invariant.DecisionOnLiveAttempt, decision(true), decision(false)},
		{
			invariant.NoAttemptAfterEnd,
			start(func(a *invariant.AttemptStart) { a.RequestEnded = at.Add(-invariant.MaxLateStart - 1) }),
			start(func(a *invariant.AttemptStart) { a.RequestEnded = at.Add(-invariant.MaxLateStart) }),
		},
		{
			invariant.NoAttemptToDraining,
			start(func(a *invariant.AttemptStart) { a.EndpointDraining = at.Add(-invariant.MaxDrainDelay - 1) }),
			start(func(a *invariant.AttemptStart) { a.EndpointDraining = at.Add(-invariant.MaxDrainDelay) }),
		},
		{
			invariant.RetryInDedupWindow,
			start(func(a *invariant.AttemptStart) { a.DedupWindowEnd = at.Add(-invariant.MaxDeadlineExcess - 1) }),
			start(func(a *invariant.AttemptStart) { a.DedupWindowEnd = at }),
		},
		{
			invariant.ToldDeadlineHolds,
			start(func(a *invariant.AttemptStart) {
				a.ClientDeadline, a.SentDeadline = at, at.Add(invariant.MaxDeadlineExcess+1)
			}),
			start(func(a *invariant.AttemptStart) { a.ClientDeadline, a.SentDeadline = at, at }),
		},
		{
			invariant.OneFinalReply,
			func(c *invariant.Checker) { c.ReplyDecided([]byte("id"), 2) },
			func(c *invariant.Checker) { c.ReplyDecided([]byte("id"), 1) },
		},
		{
			invariant.NoUnansweredClose,
			func(c *invariant.Checker) { c.ClientConnClosed([][]byte{[]byte("id")}, false, "idle") },
			func(c *invariant.Checker) {
				c.ClientConnClosed([][]byte{[]byte("id")}, true, "client gone")
				c.ClientConnClosed(nil, false, "idle")
			},
		},
		{
			invariant.AttemptsBounded,
			func(c *invariant.Checker) { c.AttemptDecided([]byte("id"), 5, 4, 1, true) },
			func(c *invariant.Checker) { c.AttemptDecided([]byte("id"), 4, 4, 2, true) },
		},
		{
			invariant.AttemptsBounded,
			func(c *invariant.Checker) { c.AttemptDecided([]byte("id"), 2, 4, 2, false) },
			func(c *invariant.Checker) { c.AttemptDecided([]byte("id"), 2, 4, 1, false) },
		},
	}
}

// Each violation is counted and reported, and calls that barely satisfy the invariant are not.
func TestEachInvariantFires(t *testing.T) {
	for _, test := range slices.Concat(violationCases(), connectionCases()) {
		t.Run(test.invariant.String(), func(t *testing.T) {
			var reported []invariant.Violation
			checker := invariant.NewChecker(func(v invariant.Violation) { reported = append(reported, v) })
			test.holds(checker)
			if checker.Total() != 0 || len(reported) != 0 {
				t.Fatalf("reported although the invariant holds: %v", reported)
			}
			test.violates(checker)
			if checker.Count(test.invariant) != 1 || checker.Total() != 1 || len(reported) != 1 ||
				reported[0].Invariant != test.invariant || reported[0].RequestID != "id" {
				t.Errorf("got %d violations of the invariant and %d in total, want 1 each; reported %v", checker.Count(test.invariant), checker.Total(), reported)
			}
		})
	}
}

// The methods of a nil checker do nothing.
func TestNilChecker(t *testing.T) {
	var checker *invariant.Checker
	checker.ReplyDecided([]byte("id"), 2)
	checker.AttemptDecided([]byte("id"), 9, 1, 2, false)
	checker.AttemptStarted(&invariant.AttemptStart{})
	checker.ClientConnClosed([][]byte{[]byte("id")}, false, "")
	checker.ResponseBelieved(&invariant.BelievedResponse{Used: true, NotExecuted: true})
	if checker.Total() != 0 {
		t.Error("a nil checker counted a violation")
	}
}
