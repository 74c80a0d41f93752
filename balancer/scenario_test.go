package balancer_test

import (
	"fmt"
	"strings"
	"testing"

	"woodproxy/balancer"
	"woodproxy/internal/testscript"
)

// A scenario is a text file of lines:
//
//	terms WORD=VALUE ...                     what the instance is told; a bare word switches on
//	route NAME WORD=VALUE ...                before the first line that has a time
//	MS list [whole] NAME[:draining|:gone|:since=MS|:weight=W|:zone=N|:at=NAME] ...   origins are named o1, o2 ...; at: has the index of one long gone
//	MS arrive CX ROUTE [key=N] [left=MS] [write] [repeat] [tenant=N]
//	MS each FROM-TO ROUTE [left=MS] [write] [repeat]    one exchange for each index, keys alike to it
//	MS rounds N FROM-TO ROUTE every=MS took=MS    all of them arrive, are sent and completed, N times
//	MS end CX ENDING [took=MS] [over] [at=NODE]    the last try of CX ended, or that which is out at a node
//	MS left CX | wake | failed | streaming CX
//	MS heard NODE silent|answers             from a peer
//	MS bar NODE PART [off]                   its zone is left; what is out there is called off
//	MS rest NODE MS                          its next trial is no sooner than at that time
//	MS share PART                            of what all proxies may do
//	> send CX NODE | tell PEER NODE silent|answers | cancel CX | shed CX | error CX | follow | log WORD | no-log WORD    exactly these, in order
//	> count ACT [NODE] OP N                  how many came of one line
//
// NODE is a name, $X (bound at its first use, no cache twice) or any. Wakes are left out; logs unless asked for.
func TestScenarios(t *testing.T) {
	testscript.Play(t, "scenarios/*.txt", func(t *testing.T) testscript.Stage {
		return &play{
			t: t, routes: map[string]int{}, nodes: map[string]int{}, bound: map[string]string{},
			last: map[int]balancer.Decision{}, terms: balancer.Terms{
				Proxies: 1, MaxTries: 5, Tick: 50, Cold: 100000,
				Fall: 30000, ColdFrom: 0.25, FallMultiple: 3, Aside: true,
			},
		}
	})
}

type play struct {
	t      *testing.T
	line   int
	terms  balancer.Terms
	routes map[string]int
	mind   *balancer.Instance
	nodes  map[string]int
	names  []string
	bound  map[string]string
	last   map[int]balancer.Decision // last send of each exchange
	got    []string
	logs   []string
	asked  bool
}

func (p *play) fail(format string, args ...any) {
	p.t.Helper()
	p.t.Errorf("line %d: %s", p.line, fmt.Sprintf(format, args...))
}

func ms(s string) balancer.Time { return balancer.Time(testscript.Num(s) * 10) }

func (p *play) Step(line int, w []string) {
	p.line = line
	switch w[0] {
	case "terms":
		p.setTerms(testscript.Words(w[1:]))
		return
	case "route":
		m := testscript.Words(w[2:])
		r := balancer.Route{
			Objective: ms(m["objective"]), Overall: ms(m["overall"]), Value: testscript.Num(m["value"]),
			Overdue: testscript.Num(m["overdue"]), Window: ms(m["window"]), Effect: map[string]balancer.Effect{
				"deduped":       balancer.Deduped,
				"non-retriable": balancer.NonRetriable,
			}[m["effect"]],
			Group: map[string]balancer.Group{"zone": balancer.GroupZone, "cell": balancer.GroupCell}[m["group"]],
		}
		p.routes[w[1]] = len(p.terms.Routes)
		p.terms.Routes = append(p.terms.Routes, r)
		return
	case ">":
		p.expect(w[1:])
		return
	}
	p.settle()
	now := ms(w[0])
	if p.mind == nil {
		p.mind = balancer.New(now, p.terms, 1)
	}
	m := testscript.Words(w[2:])
	switch w[1] {
	case "list":
		p.list(now, w[2:])
	case "arrive":
		p.arrive(now, int(testscript.Num(w[2])), w[3], m)
	case "each":
		for cx, to := span(w[2]); cx <= to; cx++ {
			p.arrive(now, cx, w[3], m)
		}
	case "rounds":
		took := ms(m["took"])
		from, to := span(w[3])
		for range int(testscript.Num(w[2])) {
			for cx := from; cx <= to; cx++ {
				p.arrive(now, cx, w[4], m)
			}
			if n := len(p.got); n != to-from+1 || strings.Contains(strings.Join(p.got, " "), "shed") {
				p.fail("not all were sent: %q", p.got)
			}
			for cx := from; cx <= to; cx++ {
				p.take(p.mind.Returned(now+took, balancer.Answer{Cx: cx, Node: p.last[cx].Node, Took: took, Ended: true}))
			}
			now, p.got = now+ms(m["every"]), nil
		}
	case "end":
		for cx, to := span(w[2]); cx <= to; cx++ {
			at := p.last[cx].Node
			if m["at"] != "" {
				at = p.nodes[p.name(m["at"])]
			}
			p.take(p.mind.Returned(now, balancer.Answer{
				Cx: cx, Node: at, Ending: endings[w[3]],
				Took: ms(m["took"]), Ended: m["over"] != "",
			}))
		}
	case "heard":
		n, ok := p.nodes[p.name(w[2])]
		if !ok {
			n = len(p.names) // no such node
		}
		p.take(p.mind.Heard(now, n, w[3] == "answers"))
	case "bar":
		p.take(p.mind.Bar(now, p.nodes[p.name(w[2])], testscript.Num(w[3]), len(w) > 4))
	case "rest":
		p.take(p.mind.Rest(now, p.nodes[p.name(w[2])], ms(w[3])))
	case "share":
		p.take(p.mind.Share(now, testscript.Num(w[2])))
	case "left":
		p.take(p.mind.Left(now, int(testscript.Num(w[2]))))
	case "streaming":
		p.take(p.mind.Streaming(now, int(testscript.Num(w[2]))))
	case "wake":
		p.take(p.mind.Woken(now))
	case "failed":
		p.take(p.mind.ListFailed(now))
	default:
		p.fail("unknown word %q", w[1])
	}
}

func span(s string) (int, int) {
	from, to, ok := strings.Cut(s, "-")
	if !ok {
		to = from
	}
	return int(testscript.Num(from)), int(testscript.Num(to))
}

var endings = map[string]balancer.Ending{
	"completed": balancer.Completed, "fault": balancer.Fault, "no-room": balancer.NoRoom,
	"silent": balancer.Silent, "unreachable": balancer.Unreachable, "cut": balancer.Cut, "undone": balancer.Undone,
	"never-sent": balancer.NeverSent, "lacking": balancer.Lacking,
}

func (p *play) setTerms(m map[string]string) {
	t := &p.terms
	for k, v := range m {
		switch k {
		case "proxies":
			t.Proxies = int(testscript.Num(v))
		case "peers":
			t.Peers = int(testscript.Num(v))
		case "tries":
			t.MaxTries = int(testscript.Num(v))
		case "cancel":
			t.MayCancel = true
		case "parallel":
			t.Parallel = true
		case "ask":
			t.Ask, t.AskEvery = true, ms(v)
		case "through":
			t.Aside = false
		case "rough":
			t.RoughWeights = true
		case "retry-after":
			t.RetryAfter, t.MaxRetryAfter = true, ms(v)
		case "cold":
			t.Cold = ms(v)
		case "allowance":
			t.Allowance = []float64{testscript.Num(v), testscript.Num(v)}
		case "fetch":
			t.Fetch = testscript.Num(v)
		case "beyond":
			t.BeyondShare = testscript.Num(v)
		default:
			p.fail("unknown term %q", k)
		}
	}
}

func (p *play) list(now balancer.Time, w []string) {
	first := len(p.names) == 0
	whole := first
	var lines []balancer.Listing
	for _, s := range w {
		if s == "whole" {
			whole = true
			continue
		}
		parts := strings.Split(s, ":")
		m := testscript.Words(parts[1:])
		n, ok := p.nodes[parts[0]]
		if !ok {
			if n, ok = p.nodes[m["at"]]; ok {
				p.names[n] = parts[0]
			} else {
				n = len(p.names)
				p.names = append(p.names, parts[0])
			}
			p.nodes[parts[0]] = n
		}
		l := balancer.Listing{
			Node: n, Name: parts[0], Origin: parts[0][0] == 'o', Since: ms(m["since"]), Weight: 1,
			Ready: m["draining"] == "" && m["gone"] == "", Zone: int(testscript.Num(m["zone"])),
		}
		if m["weight"] != "" {
			l.Weight = testscript.Num(m["weight"])
		}
		lines = append(lines, l)
	}
	p.take(p.mind.Nodes(now, whole, first, lines))
}

func (p *play) arrive(now balancer.Time, cx int, route string, m map[string]string) {
	r, ok := p.routes[route]
	if !ok {
		p.fail("no route %q", route)
		return
	}
	e := balancer.Exchange{
		Route: r, Tenant: -1, Key: uint64(cx), Keyed: true, Write: m["write"] != "",
		Repeat: m["repeat"] != "", Remaining: p.terms.Routes[r].Overall,
	}
	if m["key"] != "" {
		e.Key = uint64(testscript.Num(m["key"]))
	}
	if m["left"] != "" {
		e.Remaining = ms(m["left"])
	}
	if m["tenant"] != "" {
		e.Tenant = int(testscript.Num(m["tenant"]))
	}
	p.take(p.mind.Arrive(now, cx, e))
}

func (p *play) take(ds []balancer.Decision) {
	for _, d := range ds {
		switch d.Act {
		case balancer.Send:
			p.last[d.Cx] = d
			p.got = append(p.got, fmt.Sprintf("send %d %s", d.Cx, p.names[d.Node]))
		case balancer.Cancel:
			p.got = append(p.got, fmt.Sprintf("cancel %d", d.Cx))
		case balancer.Shed:
			p.got = append(p.got, fmt.Sprintf("shed %d", d.Cx))
			if p.terms.RetryAfter && (d.After <= 0 || d.After > p.terms.MaxRetryAfter) {
				p.fail("shed with advice to come back in %d", d.After)
			}
		case balancer.Error:
			p.got = append(p.got, fmt.Sprintf("error %d", d.Cx))
		case balancer.Follow:
			p.got = append(p.got, "follow")
		case balancer.Tell:
			p.got = append(p.got, fmt.Sprintf("tell %d %s %s", d.Peer, p.names[d.Node],
				map[bool]string{true: "answers", false: "silent"}[d.Answers]))
		case balancer.Log:
			p.logs = append(p.logs, d.Text)
		}
	}
}

// End checks what the last line left.
func (p *play) End() { p.settle() }

// settle checks that nothing came that no line asked for.
func (p *play) settle() {
	if len(p.got) > 0 && !p.asked {
		p.fail("before it came, unasked: %q", p.got)
	}
	p.got, p.logs, p.asked = nil, nil, false
}

func (p *play) expect(w []string) {
	if w[0] == "log" || w[0] == "no-log" {
		if (w[0] == "log") != strings.Contains(strings.Join(p.logs, "\n"), strings.Join(w[1:], " ")) {
			p.fail("log lines %q: %s %q", p.logs, w[0], w[1:])
		}
		return
	}
	if w[0] == "count" {
		p.asked = true
		act, n := w[1], 0
		for _, g := range p.got {
			f := strings.Fields(g)
			if f[0] == act && (len(w) == 4 || f[len(f)-1] == p.name(w[2])) {
				n++
			}
		}
		op, want := w[len(w)-2], int(testscript.Num(w[len(w)-1]))
		if !testscript.Holds(n, op, want) {
			p.fail("%s came %d times, not %s %d; all: %q", act, n, op, want, p.got)
		}
		return
	}
	if len(p.got) == 0 {
		p.fail("nothing came, not %q", w)
		return
	}
	g := strings.Fields(p.got[0])
	p.got = p.got[1:]
	last := len(w) - 1
	ok := len(g) == len(w) && g[0] == w[0] && (len(w) < 3 || g[1] == w[1])
	if ok && len(w) == 3 {
		ok = p.match(w[last], g[last])
	} else if ok {
		ok = g[last] == w[last]
	}
	if !ok {
		p.fail("came %q, not %q", g, w)
	}
}

func (p *play) name(s string) string {
	if v, ok := p.bound[s]; ok {
		return v
	}
	return s
}

func (p *play) match(want, got string) bool {
	switch {
	case want == "any":
		return got[0] != 'o'
	case want[0] != '$' || p.bound[want] != "":
		return p.name(want) == got
	}
	for _, v := range p.bound {
		if v == got {
			return false
		}
	}
	p.bound[want] = got
	return got[0] != 'o'
}
