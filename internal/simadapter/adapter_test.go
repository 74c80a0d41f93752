package simadapter

import (
	"bytes"
	"strings"
	"testing"
)

const setup = `{"replicas-of-me":1,"limits":{"max-upstream-tries":3,"may-cancel":true,"new-key":[1]},"tick":5,` +
	`"rules":{"cold":8000,"fall":3000,"cold-from":0.3,"fall-multiple":3},"shapes":["std","origin"],` +
	`"family-info":{"mode":"aside","origin-kind":1},"routes":[{"name":"read","latency-objective":600,` +
	`"overall-timeout":1200,"value":5,"effect":"pure"}]}`

const opening = `["register",3,[["std","SERVING",0,null,1,"z","c1"],["origin","SERVING",0,null,1,"z","o"]]]
["boot",1,99,` + setup + `]
["fleet",1,1,3,"SAVED"]
`

func batch(lines string) string { return "[\"mark\",10.5]\n" + lines + "[\"go\"]\n" }

// Each batch gets exactly one reply, whose lines are in the order of the messages. Valid but outdated messages are
// ignored.
func TestServeRepliesToEachBatch(t *testing.T) {
	in := batch("") + batch(opening+`["order",1,"t/1",null,null,null,500,"read",false,false,7]
["register",3,[["std","SERVING",0,null,1,"z","c2"]]]
["fleet",1,2,3,"INCREMENTAL"]
`) + batch(`["returned",1,"t/1","c1",0,2,4.5,"none_here",false,{"x0":0.4}]
["timeout-fired",1,77]
["client-left",1,"t/none"]
["fleet",1,2,0,"FAILED"]
["from-peer",1,2,"hi"]
["sampled",1,"c1",1.4,"pass",null]
`) + batch(`["returned",1,"t/1","o",1,null,9,"pass",true,null]
["returned",1,"t/1","o",1,null,9,"pass",true,null]
["power-off",1]
`+opening)
	var out bytes.Buffer
	if err := Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if !strings.HasPrefix(l, `["wake-me"`) {
			got = append(got, l)
		}
	}
	want := `["eor"] ["try",1,"t/1",495.0,"c1"] ["eor"] ["try",1,"t/1",495.0,"o"] ["eor"] ["eor"]`
	if s := strings.Join(got, " "); s != want {
		t.Errorf("got  %s\nwant %s", s, want)
	}
}

// A peer's report that a listed endpoint does not respond moves the endpoint's keys to another one. A report that is
// empty, too long, malformed or about an unlisted endpoint is ignored.
func TestPeerReports(t *testing.T) {
	two := strings.NewReplacer(`"replicas-of-me":1`, `"replicas-of-me":2,"me":0`, `"may-cancel"`, `"may-tell":true,"may-cancel"`,
		`"z","c1"]`, `"z","c1"],["std","SERVING",0,null,1,"z","c2"]`).Replace(opening)
	order := `["order",1,"t/1",null,null,null,500,"read",false,false,7]` + "\n"
	ownerAfter := func(t *testing.T, reports string) string {
		t.Helper()
		var out bytes.Buffer
		in := batch("") + batch(two) + batch(strings.Repeat(reports, 20)+order)
		if err := Serve(strings.NewReader(in), &out); err != nil {
			t.Fatal(err)
		}
		_, after, _ := strings.Cut(out.String(), `["try",1,"t/1",495.0,"`)
		return after[:2]
	}
	first := ownerAfter(t, "")
	for _, test := range []struct{ name, report string }{
		{"empty", `""`},
		{"malformed", `"?!"`},
		{"null", `null`},
		{"number", `7`},
		{"array", `["x"]`},
		{"too long", `"` + strings.Repeat("z", 300) + `"`},
		{"about an unlisted endpoint", `"` + peerCode("c9") + `"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ownerAfter(t, `["from-peer",1,2,`+test.report+"]\n"); got != first {
				t.Errorf("after report %s: got owner %s, want unchanged owner %s", test.report, got, first)
			}
		})
	}
	if got := ownerAfter(t, `["from-peer",1,2,"`+peerCode(first)+"\"]\n"); got == first {
		t.Errorf("got owner %s, which is reported as not responding, want another one", got)
	}
}

// Malformed input makes Serve return an error whose single line names the input line, the message and the field.
func TestMalformedInputNamesLineMessageAndField(t *testing.T) {
	for _, test := range []struct{ name, input, want string }{
		{"not JSON", "nonsense\n", "line 1: not JSON"},
		{"object in place of an array", "{}\n", "line 1: not an array that begins with a message name"},
		{"batch ends before it starts", "[\"go\"]\n", "line 1: go: outside a batch"},
		{"clock mistyped", "[\"mark\",\"x\"]\n", "line 1: mark: clock: mistyped"},
		{"input ends inside a batch", "[\"mark\",1]\n", "line 2: input ends inside a batch"},
		{"unknown message", batch("[\"nap\",1]\n"), "line 2: nap: unknown message"},
		{"instance not running", batch("[\"power-off\",1]\n"), "line 2: power-off: who: instance 1 is not running"},
		{"settings without a required key", batch("[\"boot\",1,2,{}]\n"), "line 2: boot: setup replicas-of-me: missing"},
		{
			"unknown effect in the settings",
			batch("[\"boot\",1,2," + strings.Replace(setup, `"pure"`, `"odd"`, 1) + "]\n"),
			"line 2: boot: setup routes[0].effect: out of its range",
		},
		{"unknown list number", batch(opening + "[\"fleet\",1,1,5,\"FULL\"]\n"), "line 5: fleet: bank: unknown list number"},
		{"unknown mode of a list", batch(opening + "[\"fleet\",1,1,3,\"HALF\"]\n"), "line 5: fleet: mode: out of its range"},
		{"list number too large", batch("[\"register\",16,[]]\n"), "line 2: register: bank: out of range"},
		{
			"unknown state of an endpoint",
			batch("[\"register\",1,[[\"std\",\"ASLEEP\",0,null,1,\"z\",\"c\"]]]\n"),
			"line 2: register: readiness: out of its range",
		},
		{"time remaining mistyped", batch(opening + "[\"order\",1,\"t\",null,null,null,\"5\",\"read\"]\n"), "line 5: order: remaining: mistyped"},
		{"unknown route", batch(opening + "[\"order\",1,\"t\",null,null,null,5,\"write\"]\n"), "line 5: order: kind: not in the settings"},
		{"unknown outcome", batch(opening + "[\"returned\",1,\"t\",\"c1\",0,null,5,\"nap\"]\n"), "line 5: returned: ending: out of its range"},
		{
			"unlisted endpoint",
			batch(opening + "[\"returned\",1,\"t\",\"c9\",0,null,5,\"pass\"]\n"),
			"line 5: returned: node: not in any endpoint list",
		},
		{"timer number missing", batch(opening + "[\"timeout-fired\",1]\n"), "line 5: timeout-fired: mark: missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Serve(strings.NewReader(test.input), &out)
			if err == nil || err.Error() != test.want {
				t.Errorf("%q: got error %v, want %s", test.input, err, test.want)
			}
			if strings.Contains(out.String(), "eor") {
				t.Errorf("%q: got reply %q, want none", test.input, out.String())
			}
		})
	}
}
