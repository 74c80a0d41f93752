package zonehealth_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"woodproxy/internal/testscript"
	"woodproxy/zonehealth"

	"github.com/vmihailenco/msgpack/v5"
)

// A scenario is a text file of lines. This proxy is a1, in zone a:
//
//	terms WORD=VALUE ...                 apart, alone=no, region=NAME:ZONE,ZONE, zone=NAME
//	MS nodes ZONE:N ... [cold=MS]        N nodes in each; those of a later line that has cold started then
//	MS fleet ZONE:N ... [away=NAME,...] [gone=NAME,...] [behind]     proxies a1, a2 ...
//	MS try ZONE N answered|late|nothing|undone|shut|reached [took=MS] [nodes=K]    N tries, sent so long before, on the first K nodes in turn
//	MS sent ZONE N                       N tries that nothing is heard of
//	MS say ZONE NAME,... for|against|none [ill=K] [well=K] [fine=N] [late=N] [lost=N] [load=FLYING/ROOM] [origin=PART] [ago=MS]
//	      [stand=EPOCH:STATE[:STEP[:FLAPS]]] [plan=...] [kept: the plan keeps those that are well]
//	MS order ZONE in|out|hold|auto EPOCH [force]
//	MS load FLYING ROOM                  its own
//	MS ticks                             on to here, ten a second
//	> ZONE STATE [open=PART] [epoch=N] [flaps=N] [step=N] [kept=K] [alone] [barred=N]
//	> knocked N                          so many connections were asked for since the last such line
//	> spoke ZONE for|against|none [plan=STATE] | log WORDS | wrong ORDER... : WORDS
func TestScenarios(t *testing.T) {
	testscript.Play(t, "scenarios/*.txt", func(t *testing.T) testscript.Stage {
		return &play{t: t, bars: map[int]zonehealth.Decision{}, spoke: map[string]zonehealth.Voice{}, terms: zonehealth.Terms{
			Me: "a1", Zone: "a", Shortest: 5000, Quiet: 3000,
			Voices: 0.2, Settle: 2000, Hold: 20000, MostHold: 160000, Step: 10000, Cold: 50000, ColdFrom: 0.2, Alone: true,
		}}
	})
}

type play struct {
	t     *testing.T
	line  int
	terms zonehealth.Terms
	in    *zonehealth.Instance
	now   zonehealth.Time
	nodes []zonehealth.Node
	bars  map[int]zonehealth.Decision
	spoke map[string]zonehealth.Voice
	logs  []string
	knock int
}

func (p *play) fail(format string, args ...any) {
	p.t.Helper()
	p.t.Errorf("line %d: %s", p.line, fmt.Sprintf(format, args...))
}

func ms(s string) zonehealth.Time { return zonehealth.Time(testscript.Num(s) * 10) }

func (p *play) do(ds []zonehealth.Decision) {
	for _, d := range ds {
		switch d.Act {
		case zonehealth.Bar:
			p.bars[d.Node] = d
		case zonehealth.Speak:
			p.spoke[d.Zone] = d.Voice
		case zonehealth.Knock:
			p.knock++
		case zonehealth.Log:
			p.logs = append(p.logs, d.Text)
		}
	}
}

var (
	states = map[string]zonehealth.State{"in": zonehealth.In, "returning": zonehealth.Returning, "leaving": zonehealth.Leaving, "out": zonehealth.Out}
	words  = map[string]zonehealth.Word{"for": zonehealth.For, "against": zonehealth.Against, "none": zonehealth.None}
)

func stand(s string) *zonehealth.Stand {
	if s == "" {
		return nil
	}
	f := append(strings.Split(s, ":"), "0", "0")
	return &zonehealth.Stand{Epoch: int64(testscript.Num(f[0])), State: states[f[1]], Step: int(testscript.Num(f[2])), Flaps: int(testscript.Num(f[3]))}
}

func (p *play) Step(line int, w []string) {
	p.line = line
	m := testscript.Words(w[1:])
	switch w[0] {
	case "terms":
		for k, v := range m {
			switch k {
			case "apart":
				p.terms.Apart = true
			case "alone":
				p.terms.Alone = false
			case "zone":
				p.terms.Zone = v
			case "region":
				name, of, _ := strings.Cut(v, ":")
				p.terms.Regions = append(p.terms.Regions, zonehealth.Region{Name: name, Zones: strings.Split(of, ",")})
			}
		}
		return
	case ">":
		p.expect(w[1:], m)
		return
	}
	if p.in == nil {
		p.now = 10000 * zonehealth.Second
		p.in = zonehealth.New(p.now, p.terms)
	}
	for at := 10000*zonehealth.Second + ms(w[0]); p.now < at; {
		p.now = min(p.now+zonehealth.Second/10, at)
		p.do(p.in.Tick(p.now))
	}
	names := func(k string) (all []string) {
		if m[k] != "" {
			all = strings.Split(m[k], ",")
		}
		return all
	}
	switch w[1] {
	case "ticks":
	case "nodes":
		since := zonehealth.Time(0)
		if m["cold"] != "" {
			since = p.now - ms(m["cold"])
		}
		had := len(p.nodes)
		for _, f := range w[2:] {
			zone, n, ok := strings.Cut(f, ":")
			for range int(testscript.Num(map[bool]string{true: n, false: "0"}[ok])) {
				p.nodes = append(p.nodes, zonehealth.Node{Index: len(p.nodes), Name: fmt.Sprint("c", len(p.nodes)), Zone: zone, Since: since})
			}
		}
		if had == len(p.nodes) { // all started anew
			for i := range p.nodes {
				p.nodes[i].Since = since
			}
		}
		p.do(p.in.Nodes(p.now, p.nodes))
	case "fleet":
		var all []zonehealth.Proxy
		for _, f := range w[2:] {
			zone, n, ok := strings.Cut(f, ":")
			for i := range int(testscript.Num(map[bool]string{true: n, false: "0"}[ok])) {
				name := fmt.Sprint(zone, i+1)
				x := zonehealth.Proxy{Name: name, Zone: zone, Here: true}
				for _, a := range names("away") {
					x.Here = x.Here && a != name && a != zone
				}
				for _, g := range names("gone") {
					x.Gone = x.Gone || g == name || g == zone
				}
				x.Here = x.Here && !x.Gone
				all = append(all, x)
			}
		}
		p.in.Fleet(p.now, all, m["behind"] != "")
	case "try", "sent":
		var of []int
		for _, n := range p.nodes {
			if n.Zone == w[2] && (m["nodes"] == "" || len(of) < int(testscript.Num(m["nodes"]))) {
				of = append(of, n.Index)
			}
		}
		took := zonehealth.Time(50)
		if m["took"] != "" {
			took = ms(m["took"])
		}
		for i := range int(testscript.Num(w[3])) {
			at := of[i%len(of)]
			if w[1] == "try" && w[4] == "reached" {
				p.in.Reached(at)
				continue
			}
			p.in.Sent(p.now, at)
			if w[1] == "try" {
				p.in.Ended(p.now, at, map[string]zonehealth.Ending{"answered": zonehealth.Answered, "late": zonehealth.Late, "nothing": zonehealth.Nothing, "undone": zonehealth.Undone, "shut": zonehealth.Shut}[w[4]], took)
			}
		}
	case "say":
		v := zonehealth.Voice{
			Word: words[w[4]], InTime: float32(testscript.Num("0" + m["fine"])), AnsweredLate: float32(testscript.Num("0" + m["late"])),
			Lost: float32(testscript.Num("0" + m["lost"])), OriginLateShare: float32(testscript.Num("0" + m["origin"])), Plan: stand(m["plan"]),
		}
		if v.Word != zonehealth.For {
			v.LastAnswerAge = zonehealth.Second
		}
		if s := stand(m["stand"]); s != nil {
			v.Stand = *s
		}
		if f, r, ok := strings.Cut(m["load"], "/"); ok {
			v.InFlight, v.Capacity = float32(testscript.Num(f)), float32(testscript.Num(r))
		}
		k := 0
		for _, n := range p.nodes {
			if n.Zone != w[2] {
				continue
			}
			if k++; k <= int(testscript.Num("0"+m["ill"])) {
				v.Ill = append(v.Ill, zonehealth.Hash(n.Name))
			} else if k <= int(testscript.Num("0"+m["ill"]))+int(testscript.Num("0"+m["well"])) {
				v.HealthyNodes = append(v.HealthyNodes, zonehealth.Hash(n.Name))
			}
		}
		if m["kept"] != "" {
			slices.Sort(v.HealthyNodes)
			v.Plan.RetainedNodes, v.HealthyNodes = v.HealthyNodes, nil
		}
		for _, name := range strings.Split(w[3], ",") {
			p.do(p.in.Voice(p.now, name, w[2], v, 0, 5*zonehealth.Second))
		}
	case "load":
		p.in.Load(testscript.Num(w[2]), testscript.Num(w[3]))
	case "order":
		p.do(p.in.Order(p.now, zonehealth.Order{Zone: w[2], Want: zonehealth.Wants[w[3]], Epoch: int64(testscript.Num(w[4])), By: "b1", Force: m["force"] != ""}))
	default:
		p.fail("unknown word %q", w[1])
	}
}

func (p *play) expect(w []string, m map[string]string) {
	switch w[0] {
	case "log":
		if !strings.Contains(strings.Join(p.logs, "\n"), strings.Join(w[1:], " ")) {
			p.fail("log lines %q: no %q", p.logs, w[1:])
		}
		return
	case "knocked":
		if p.knock != int(testscript.Num(w[1])) {
			p.fail("knocked at %d nodes, not %s", p.knock, w[1])
		}
		p.knock = 0
		return
	case "spoke":
		v, ok := p.spoke[w[1]]
		if !ok || v.Word != words[w[2]] || (m["plan"] != "") != (v.Plan != nil) || v.Plan != nil && v.Plan.State != states[m["plan"]] {
			p.fail("of %s it spoke %+v, plan %+v (%v)", w[1], v, v.Plan, ok)
		}
		delete(p.spoke, w[1])
		return
	case "wrong":
		i := strings.Index(strings.Join(w, " "), " : ")
		f, want := strings.Fields(strings.Join(w, " ")[:i]), strings.Join(w, " ")[i+3:]
		epoch := int64(-1)
		if m["epoch"] != "" {
			epoch = int64(testscript.Num(m["epoch"]))
		}
		if got := zonehealth.Check(p.in.Shown(p.now), p.terms.Zones(f[1]), zonehealth.Wants[f[2]], epoch, m["force"] != ""); want == "nothing" && got != "" || want != "nothing" && !strings.Contains(got, want) {
			p.fail("%q: %q, not %q", f, got, want)
		}
		return
	}
	for _, s := range p.in.Shown(p.now) {
		if s.Name != w[0] {
			continue
		}
		barred := 0
		for _, n := range p.nodes {
			if n.Zone == s.Name && p.bars[n.Index].Part > 0 {
				barred++
			}
		}
		got := map[string]string{
			"open": fmt.Sprintf("%.3f", s.Open), "epoch": fmt.Sprint(s.Stand.Epoch), "flaps": fmt.Sprint(s.Stand.Flaps), "step": fmt.Sprint(s.Stand.Step),
			"kept": fmt.Sprint(len(s.Stand.RetainedNodes)), "barred": fmt.Sprint(barred),
		}
		bad := s.Stand.State.String() != w[1] || s.Alone != (m["alone"] != "")
		for k, v := range testscript.Words(w[2:]) {
			if g, ok := got[k]; k != "alone" && (!ok || math.Abs(testscript.Num(g)-testscript.Num(v)) > 0.001) {
				bad = true
			}
		}
		if bad {
			p.fail("%s: %v %v, alone %v; wanted %v; %q", s.Name, s.Stand.State, got, s.Alone, w, p.logs)
		}
		return
	}
	p.fail("no zone %q", w[0])
}

// End is the end of a scenario.
func (p *play) End() {}

// Whatever peers say is refused or taken without a fault, and no one voice moves a zone.
func FuzzVoice(f *testing.F) {
	good, err := msgpack.Marshal(&zonehealth.Voice{Zone: "b", Word: zonehealth.Against, Ill: []uint32{1, 2}, Plan: &zonehealth.Stand{Epoch: 3, State: zonehealth.Leaving, RetainedNodes: []uint32{1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("b1", "b", good)
	f.Add("a1", "", []byte{0x80})
	f.Fuzz(func(t *testing.T, from, of string, body []byte) {
		var v zonehealth.Voice
		if msgpack.Unmarshal(body, &v) != nil {
			return
		}
		z := zonehealth.New(0, zonehealth.Terms{Me: "a1", Zone: "a", Shortest: 5000, Quiet: 3000, Voices: 0.2, Settle: 2000, Hold: 20000, MostHold: 160000, Step: 10000, Alone: true})
		z.Nodes(1, []zonehealth.Node{{Index: 0, Name: "c0", Zone: "a"}, {Index: 1, Name: "c1", Zone: "b"}})
		z.Fleet(2, []zonehealth.Proxy{{Name: "a1", Zone: "a", Here: true}, {Name: "b1", Zone: "b", Here: true}, {Name: "b2", Zone: "b", Here: true}}, false)
		for now := zonehealth.Time(3); now < 3*zonehealth.Second; now += zonehealth.Second / 10 {
			z.Voice(now, from, of, v, 0, 5*zonehealth.Second)
			z.Tick(now)
		}
		for _, s := range z.Shown(4 * zonehealth.Second) {
			if s.Stand.State != zonehealth.In || s.Open != 1 {
				t.Errorf("%+v", s)
			}
		}
	})
}
