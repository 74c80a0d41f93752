package balancer_test

import (
	"fmt"
	"strings"

	"woodproxy/balancer"
	"woodproxy/internal/testscript"
)

// record keeps decisions as scenarios write them.
func (p *player) record(decisions []balancer.Decision) {
	for _, d := range decisions {
		switch d.Action {
		case balancer.Send:
			p.lastSent[d.Request] = d
			p.recordf("send %d %s", d.Request, p.endpointNames[d.Endpoint])
		case balancer.Cancel:
			p.recordf("cancel %d", d.Request)
		case balancer.Shed:
			p.recordf("reject %d", d.Request)
			if p.settings.RetryAfter && (d.After <= 0 || d.After > p.settings.MaxRetryAfter) {
				p.fail("rejected with a Retry-After of %d", d.After)
			}
		case balancer.Error:
			p.recordf("error %d", d.Request)
		case balancer.PollEndpoints:
			p.recordf("poll")
		case balancer.NotifyPeer:
			state := "silent"
			if d.Responds {
				state = "responds"
			}
			p.recordf("notify %d %s %s", d.Peer, p.endpointNames[d.Endpoint], state)
		case balancer.Log:
			p.logs = append(p.logs, d.Text)
		}
	}
}

func (p *player) recordf(format string, args ...any) {
	p.decisions = append(p.decisions, fmt.Sprintf(format, args...))
}

// expectNothingLeft fails on decisions of the last line that the scenario does not name.
func (p *player) expectNothingLeft() {
	p.t.Helper()
	if len(p.decisions) > 0 && !p.counted {
		p.fail("unexpected decisions before this line: %q", p.decisions)
	}
	p.decisions, p.logs, p.counted = nil, nil, false
}

func (p *player) expect(want []string) {
	p.t.Helper()
	switch want[0] {
	case "log", "no-log":
		p.expectLog(want[0] == "log", strings.Join(want[1:], " "))
	case "count":
		p.expectCount(want[1:])
	default:
		p.expectDecision(want)
	}
}

func (p *player) expectLog(logged bool, text string) {
	p.t.Helper()
	if logged != strings.Contains(strings.Join(p.logs, "\n"), text) {
		p.fail("log lines %q: logged %q should be %v", p.logs, text, logged)
	}
}

// expectCount takes ACT [ENDPOINT] OP N.
func (p *player) expectCount(words []string) {
	p.t.Helper()
	p.counted = true
	act, op, want := words[0], words[len(words)-2], integer(words[len(words)-1])
	count := 0
	for _, decision := range p.decisions {
		got := strings.Fields(decision)
		if got[0] == act && (len(words) == 3 || got[len(got)-1] == p.resolve(words[1])) {
			count++
		}
	}
	if !testscript.Compare(count, op, want) {
		p.fail("%s came %d times, not %s %d; all: %q", act, count, op, want, p.decisions)
	}
}

// expectDecision compares the next decision. Of three words the last one may be a variable or any.
func (p *player) expectDecision(want []string) {
	p.t.Helper()
	if len(p.decisions) == 0 {
		p.fail("no decision, want %q", want)
		return
	}
	got := strings.Fields(p.decisions[0])
	p.decisions = p.decisions[1:]
	last := len(want) - 1
	ok := len(got) == len(want) && got[0] == want[0] && (len(want) < 3 || got[1] == want[1])
	if ok && len(want) == 3 {
		ok = p.matchEndpoint(want[last], got[last])
	} else if ok {
		ok = got[last] == want[last]
	}
	if !ok {
		p.fail("decision %q, want %q", got, want)
	}
}

// resolve returns the endpoint that a variable is bound to, or else the word itself.
func (p *player) resolve(word string) string {
	if name, ok := p.bound[word]; ok {
		return name
	}
	return word
}

// matchEndpoint compares the name of an endpoint and binds a new variable to it. Neither a new variable nor
// any stands for an origin, and no two variables for the same endpoint.
func (p *player) matchEndpoint(want, got string) bool {
	switch {
	case want == "any":
		return got[0] != 'o'
	case want[0] != '$' || p.bound[want] != "":
		return p.resolve(want) == got
	}
	for _, name := range p.bound {
		if name == got {
			return false
		}
	}
	p.bound[want] = got
	return got[0] != 'o'
}
