package balancer_test

import (
	"fmt"
	"strings"

	"woodproxy/balancer"
	"woodproxy/internal/testscript"
)

// record stores decisions as text in the form of scenario lines.
func (r *scenarioRunner) record(decisions []balancer.Decision) {
	for _, d := range decisions {
		switch d.Action {
		case balancer.Send:
			r.lastSent[d.Request] = d
			r.attempts[d.Request] = append(r.attempts[d.Request], scenarioAttempt{endpoint: d.Endpoint})
			r.recordf("send %d %s", d.Request, r.endpointNames[d.Endpoint])
		case balancer.Cancel:
			r.checkInFlight(d)
			r.recordf("cancel %d", d.Request)
		case balancer.Deliver:
			r.checkInFlight(d)
			r.recordf("deliver %d %d", d.Request, d.Attempt)
		case balancer.Shed:
			r.recordf("reject %d", d.Request)
			if r.settings.RetryAfter && (d.After <= 0 || d.After > r.settings.MaxRetryAfter) {
				r.fail("got Retry-After %d, want one above 0 and within the retry-after setting", d.After)
			}
		case balancer.Error:
			r.recordf("error %d", d.Request)
		case balancer.PollEndpoints:
			r.recordf("poll")
		case balancer.NotifyPeer:
			state := "silent"
			if d.Responds {
				state = "responds"
			}
			r.recordf("notify %d %s %s", d.Peer, r.endpointNames[d.Endpoint], state)
		case balancer.Log:
			r.logs = append(r.logs, d.Text)
		}
	}
}

// checkInFlight fails unless a decision is about an attempt in flight.
func (r *scenarioRunner) checkInFlight(d balancer.Decision) {
	attempts := r.attempts[d.Request]
	if d.Attempt < 0 || d.Attempt >= len(attempts) || attempts[d.Attempt].ended {
		r.fail("got a decision about attempt %d of request %d, which is not in flight: %v", d.Attempt, d.Request, attempts)
	}
}

// attemptFinished reports the end of an attempt to the balancer.
func (r *scenarioRunner) attemptFinished(now balancer.Time, result balancer.AttemptResult) {
	attempts := r.attempts[result.Request]
	for i := range attempts {
		if attempt := &attempts[i]; attempt.endpoint == result.Endpoint && !attempt.ended {
			attempt.ended = true
			break
		}
	}
	r.record(r.balancer.AttemptFinished(now, result))
}

func (r *scenarioRunner) recordf(format string, args ...any) {
	r.decisions = append(r.decisions, fmt.Sprintf(format, args...))
}

// expectNoDecisionsLeft fails if the previous line caused decisions that the scenario does not expect.
func (r *scenarioRunner) expectNoDecisionsLeft() {
	r.t.Helper()
	if len(r.decisions) > 0 && !r.counted {
		r.fail("unexpected decisions before this line: %q", r.decisions)
	}
	r.decisions, r.logs, r.counted = nil, nil, false
}

func (r *scenarioRunner) expect(want []string) {
	r.t.Helper()
	switch want[0] {
	case "log", "no-log":
		r.expectLog(want[0] == "log", strings.Join(want[1:], " "))
	case "count":
		r.expectCount(want[1:])
	default:
		r.expectDecision(want)
	}
}

func (r *scenarioRunner) expectLog(logged bool, text string) {
	r.t.Helper()
	if logged != strings.Contains(strings.Join(r.logs, "\n"), text) {
		r.fail("got log lines %q, want %q logged: %v", r.logs, text, logged)
	}
}

// expectCount checks the number of decisions of one kind. The words are ACTION [ENDPOINT] OP N.
func (r *scenarioRunner) expectCount(words []string) {
	r.t.Helper()
	r.counted = true
	action, op, want := words[0], words[len(words)-2], integer(words[len(words)-1])
	count := 0
	for _, decision := range r.decisions {
		got := strings.Fields(decision)
		if got[0] == action && (len(words) == 3 || got[len(got)-1] == r.resolve(words[1])) {
			count++
		}
	}
	if !testscript.Compare(count, op, want) {
		r.fail("%s: got %d, want %s %d; all decisions: %q", action, count, op, want, r.decisions)
	}
}

// expectDecision compares the next decision. The last of three words may be a variable or any.
func (r *scenarioRunner) expectDecision(want []string) {
	r.t.Helper()
	if len(r.decisions) == 0 {
		r.fail("got no decision, want %q", want)
		return
	}
	got := strings.Fields(r.decisions[0])
	r.decisions = r.decisions[1:]
	last := len(want) - 1
	ok := len(got) == len(want) && got[0] == want[0] && (len(want) < 3 || got[1] == want[1])
	if ok && len(want) == 3 {
		ok = r.matchEndpoint(want[last], got[last])
	} else if ok {
		ok = got[last] == want[last]
	}
	if !ok {
		r.fail("got decision %q, want %q", got, want)
	}
}

// resolve returns the name of the endpoint that is bound to a variable, or the word itself if it is no bound variable.
func (r *scenarioRunner) resolve(word string) string {
	if name, ok := r.bound[word]; ok {
		return name
	}
	return word
}

// matchEndpoint compares the name of an endpoint and binds a new variable to it. Neither a new variable nor any matches
// an origin, and no two variables are bound to the same endpoint.
func (r *scenarioRunner) matchEndpoint(want, got string) bool {
	switch {
	case want == "any":
		return got[0] != 'o'
	case want[0] != '$' || r.bound[want] != "":
		return r.resolve(want) == got
	}
	for _, name := range r.bound {
		if name == got {
			return false
		}
	}
	r.bound[want] = got
	return got[0] != 'o'
}
