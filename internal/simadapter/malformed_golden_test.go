package simadapter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/simadapter"
)

const (
	validSetup = `{"replicas-of-me":2,"me":0,"membership-mode":"push","locality":"z","beyond-share-value":0.1,` +
		`"limits":{"max-upstream-tries":3,"may-cancel":true,"may-tell":true,"parallel-tries":false,"retry-after":true,` +
		`"max-retry-after":200,"connect-timeout":100,"conn-idle":60000},"tick":5,` +
		`"rules":{"cold":8000,"fall":3000,"cold-from":0.3,"fall-multiple":3,"ask-every":10000},` +
		`"fees":{"origin":0.1},"goal":{"punctual":0},"weights":"silent","zones":["z"],` +
		`"shapes":["std","origin"],"family-info":{"mode":"aside","origin-kind":1},` +
		`"tenants":[{"name":"acme","allowance-per-s":5}],` +
		`"routes":[{"name":"read","latency-objective":600,"overall-timeout":1200,"value":5,"overdue-value":0,` +
		`"effect":"pure","group":"all","dedup-window":10}]}`
	validBoot = `["register",3,[["std","SERVING",0,null,1,"z","c1"],["origin","SERVING",0,null,1,"z","o"]]]
["boot",1,99,` + validSetup + `]
["fleet",1,1,3,"SAVED"]
`
	validOrder = `["order",1,"t",null,null,null,500,"read",false,false,7]` + "\n"
)

// oneBatch returns a batch that consists of the given lines.
func oneBatch(lines string) string { return "[\"mark\",10.5]\n" + lines + "[\"go\"]\n" }

// malformedFrames are inputs that violate the framing of lines and batches.
var malformedFrames = []string{
	"nonsense\n", "{}\n", "[]\n", "[1]\n", "[null,1]\n", `["mark",1`, `"mark"` + "\n",
	"[\"go\"]\n", "[\"order\",1]\n", "[\"nap\"]\n",
	"[\"mark\"]\n", "[\"mark\",null]\n", "[\"mark\",\"x\"]\n", "[\"mark\",1e999]\n",
	"[\"mark\",1]\n", "[\"mark\",1]\n\n", "[\"mark\",1]\n[\"mark\",2]\n", "[\"mark\",1]\n[\"nap\",1]\n",
	"[\"mark\",1]\n[\"go\"]\n\n[\"mark\",2]\n[\"go\"]\nnonsense\n",
}

// malformedMessages are sent within a batch, after instance 1 has started and has received the request t.
var malformedMessages = []string{
	`["nap",1]`, `["returned"]`, `["returned",null]`, `["returned","1"]`, `["returned",-1]`, `["returned",1.5]`,
	`["returned",2147483648]`, `["returned",2]`, `["order",2]`, `["fleet",2]`, `["started",2]`, `["client-left",2]`,
	`["timeout-fired",2]`, `["sampled",2]`, `["from-peer",2]`, `["power-off",2]`, `["power-off"]`,

	`["register"]`, `["register","1",[]]`, `["register",-1,[]]`, `["register",1.5,[]]`, `["register",16,[]]`,
	`["register",1]`, `["register",1,null]`, `["register",1,{}]`, `["register",1,[7]]`, `["register",1,[[]]]`,
	`["register",1,[[7,"SERVING",0,null,1,"z","c"]]]`, `["register",1,[["std",7,0,null,1,"z","c"]]]`,
	`["register",1,[["std","ASLEEP",0,null,1,"z","c"]]]`, `["register",1,[["std","SERVING","0",null,1,"z","c"]]]`,
	`["register",1,[["std","SERVING",-1,null,1,"z","c"]]]`, `["register",1,[["std","SERVING",0,"x",1,"z","c"]]]`,
	`["register",1,[["std","SERVING",0,null,"1","z","c"]]]`, `["register",1,[["std","SERVING",0,null,-1,"z","c"]]]`,
	`["register",1,[["std","SERVING",0,null,1,7,"c"]]]`, `["register",1,[["std","SERVING",0,null,1,"z"]]]`,
	`["register",1,[["std","SERVING",0,null,1,"z",7]]]`,

	`["fleet",1,"x",3,"FULL"]`, `["fleet",1,1,3]`, `["fleet",1,1,3,7]`, `["fleet",1,1,3,"HALF"]`, `["fleet",1,1,null,"FULL"]`,
	`["fleet",1,1,"3","FULL"]`, `["fleet",1,1,5,"FULL"]`, `["fleet",1,1,16,"SAVED"]`, `["fleet",1,1,-1,"INCREMENTAL"]`,

	`["order",1]`, `["order",1,7,null,null,null,5,"read"]`, `["order",1,"u","x",null,null,5,"read"]`,
	`["order",1,"u",null,"x",null,5,"read"]`, `["order",1,"u",null,null,true,5,"read"]`,
	`["order",1,"u",null,null,["acme"],5,"read"]`, `["order",1,"u",null,null,null,null,"read"]`,
	`["order",1,"u",null,null,null,"5","read"]`, `["order",1,"u",null,null,null,5]`, `["order",1,"u",null,null,null,5,7]`,
	`["order",1,"u",null,null,null,5,"write"]`, `["order",1,"u",null,null,null,5,"read",1]`,
	`["order",1,"u",null,null,null,5,"read",false,"no"]`, `["order",1,"u",null,null,null,5,"read",false,false,"7"]`,
	`["order",1,"u",null,null,null,5,"read",false,false,-7]`, `["order",1,"u",null,null,null,5,"read",false,false,7.5]`,
	`["order",1,"t",null,null,null,5,"read"]`,

	`["started",1]`, `["started",1,7,0,"c1",1]`, `["started",1,"t",null,"c1",1]`, `["started",1,"t",0.5,"c1",1]`,
	`["started",1,"t",0,null,1]`, `["started",1,"t",0,"c1","1"]`,
	`["client-left",1]`, `["client-left",1,7]`,
	`["timeout-fired",1]`, `["timeout-fired",1,"7"]`, `["timeout-fired",1,7.5]`,

	`["returned",1]`, `["returned",1,7]`, `["returned",1,"t"]`, `["returned",1,"t",7]`, `["returned",1,"t","c1"]`,
	`["returned",1,"t","c1",-1]`, `["returned",1,"t","c1",0,"x"]`, `["returned",1,"t","c1",0,null,"x"]`,
	`["returned",1,"t","c1",0,null,5]`, `["returned",1,"t","c1",0,null,5,7]`, `["returned",1,"t","c1",0,null,5,"nap"]`,
	`["returned",1,"t","c1",0,null,5,"pass",1]`, `["returned",1,"t","c1",0,null,5,"pass",true,7]`,
	`["returned",1,"t","c9",0,null,5,"pass"]`,

	`["sampled",1]`, `["sampled",1,7,1,"pass"]`, `["sampled",1,"c1","x","pass"]`, `["sampled",1,"c1",1]`,
	`["sampled",1,"c1",1,"pass",[]]`,

	`["boot"]`, `["boot",2]`, `["boot",2,"x",{}]`, `["boot",2,7]`, `["boot",2,7,null]`, `["boot",2,7,[]]`, `["boot",2,7,{}]`,
}

// malformedSettings are pairs of a text in the valid settings and the text that replaces it.
var malformedSettings = [][2]string{
	{`"replicas-of-me":2`, `"replicas-of-me":"2"`},
	{`"replicas-of-me":2`, `"replicas-of-me":0`},
	{`"replicas-of-me":2`, `"replicas-of-me":1.5`},
	{`"me":0`, `"me":2`},
	{`"me":0,`, ``},
	{`"me":0`, `"me":"0"`},
	{`"push"`, `"pull"`},
	{`"push"`, `7`},
	{`"locality":"z"`, `"locality":7`},
	{`"beyond-share-value":0.1`, `"beyond-share-value":"x"`},
	{`"max-upstream-tries":3,`, ``},
	{`"max-upstream-tries":3`, `"max-upstream-tries":0`},
	{`"may-cancel":true`, `"may-cancel":1`},
	{`"may-tell":true`, `"may-tell":1`},
	{`"parallel-tries":false`, `"parallel-tries":1`},
	{`"retry-after":true`, `"retry-after":1`},
	{`"max-retry-after":200`, `"max-retry-after":"x"`},
	{`"connect-timeout":100`, `"connect-timeout":"x"`},
	{`"conn-idle":60000`, `"conn-idle":"x"`},
	{`"tick":5,`, ``},
	{`"tick":5`, `"tick":"x"`},
	{`"cold":8000,`, ``},
	{`"fall":3000,`, ``},
	{`"cold-from":0.3,`, ``},
	{`"fall-multiple":3,`, ``},
	{`"ask-every":10000`, `"ask-every":"x"`},
	{`"origin":0.1`, `"origin":-1`},
	{`"origin":0.1`, `"origin":"x"`},
	{`"punctual":0`, `"punctual":"x"`},
	{`"weights":"silent"`, `"weights":7`},
	{`"zones":["z"]`, `"zones":7`},
	{`"shapes":["std","origin"],`, ``},
	{`"shapes":["std","origin"]`, `"shapes":7`},
	{`"mode":"aside"`, `"mode":7`},
	{`"origin-kind":1`, `"origin-kind":"x"`},
	{`"tenants":[{"name":"acme",`, `"tenants":[{`},
	{`"name":"acme"`, `"name":7`},
	{`"allowance-per-s":5`, `"allowance-per-s":-5`},
	{`"tenants":[{"name":"acme","allowance-per-s":5}]`, `"tenants":7`},
	{`"name":"read",`, ``},
	{`"latency-objective":600,`, ``},
	{`"latency-objective":600`, `"latency-objective":0`},
	{`"overall-timeout":1200`, `"overall-timeout":-1`},
	{`"value":5,`, ``},
	{`"value":5`, `"value":-1`},
	{`"overdue-value":0`, `"overdue-value":1.5`},
	{`"effect":"pure",`, ``},
	{`"effect":"pure"`, `"effect":"odd"`},
	{`"group":"all"`, `"group":"odd"`},
	{`"dedup-window":10`, `"dedup-window":-1`},
	{`"dedup-window":10}`, `"dedup-window":10},{"name":"read","latency-objective":1,"overall-timeout":1,"value":1,"effect":"pure"}`},
	{`"routes":[`, `"routes":[],"unknown":[`},
	{`"routes":[`, `"unknown":[`},
}

// TestMalformedGolden compares the error for each malformed input with the golden file. Each error is a single line.
func TestMalformedGolden(t *testing.T) {
	var table bytes.Buffer
	record := func(shown, input string) {
		t.Helper()
		var output bytes.Buffer
		err := simadapter.Serve(strings.NewReader(input), &output)
		if err == nil {
			t.Errorf("%s: got no error", shown)
			return
		}
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %q, want a single line", shown, err)
		}
		fmt.Fprintf(&table, "%s\n\t%v\n\t%d replies\n", shown, err, strings.Count(output.String(), `["eor"]`))
	}
	for _, frame := range malformedFrames {
		record(fmt.Sprintf("%q", frame), frame)
	}
	for _, message := range malformedMessages {
		record(message, oneBatch(validBoot+validOrder)+oneBatch(message+"\n"))
	}
	for _, change := range malformedSettings {
		changed := strings.Replace(validSetup, change[0], change[1], 1)
		if changed == validSetup {
			t.Fatalf("valid settings do not contain %s", change[0])
		}
		record(change[0]+" -> "+change[1], oneBatch(strings.Replace(validBoot, validSetup, changed, 1)))
	}
	goldentest.Text(t, "malformed.golden", table.String())
}

// rejectedOrders are requests that are rejected, with a Retry-After that depends on the instance's salt.
const rejectedOrders = `["order",1,"t",null,null,null,0,"read"]
["order",1,"u",null,null,null,0,"read"]
["order",1,"v",null,null,null,0,"read"]
`

// newNodeList registers a list with an endpoint that has no start time. The endpoint skips slow start only if the list
// is sent as a saved one.
const newNodeList = `["register",4,[["std","SERVING",0,null,1,"z","c2"]]]` + "\n"

// orders returns n requests without a key.
func orders(n int, tenant string) string {
	var lines strings.Builder
	for i := range n {
		fmt.Fprintf(&lines, `["order",1,"t%d",null,null,%s,500,"read"]`+"\n", i, tenant)
	}
	return lines.String()
}

// lenientInputs are unusual but valid inputs, and situations that occur only by chance in the generated sessions.
var lenientInputs = []struct{ name, input string }{
	{"empty input", ""},
	{"empty lines between batches", "\n\n" + oneBatch("") + "\n" + oneBatch("")},
	{"spaces and CRLF at line ends", strings.ReplaceAll(oneBatch(validBoot+validOrder), "\n", "  \r\n")},
	{"no line ending after the last line", strings.TrimSuffix(oneBatch(validBoot+validOrder), "\n")},
	{"unknown fields after the known ones", oneBatch(validBoot + strings.Replace(validOrder, ",7]", ",7,\"new\",{}]", 1))},
	{"unknown settings", oneBatch(strings.Replace(validBoot, `{"replicas`, `{"new":[{}],"replicas`, 1) + validOrder)},
	{"line longer than the buffer", oneBatch(validBoot + strings.Replace(validOrder, `null`, strings.Repeat(" ", 1<<17)+`null`, 1))},
	{"ids that need escapes", oneBatch(validBoot + `["order",1,"t \"é\\\n",null,null,null,500,"read",false,false,7]` + "\n")},
	{"names that need escapes", oneBatch(strings.ReplaceAll(validBoot, `"c1"`, `"c\u00e9\"1"`) + validOrder)},
	{"integer salt", oneBatch(validBoot + rejectedOrders)},
	{"largest salt", oneBatch(strings.Replace(validBoot, "99", "18446744073709551615", 1) + rejectedOrders)},
	{"negative salt", oneBatch(strings.Replace(validBoot, "99", "-99", 1) + rejectedOrders)},
	{"fractional salt", oneBatch(strings.Replace(validBoot, "99", "9.5", 1) + rejectedOrders)},
	{"largest key", oneBatch(validBoot + strings.Replace(validOrder, ",7]", ",18446744073709551615]", 1))},
	{"empty list", oneBatch(`["register",3,[]]` + "\n" + strings.SplitN(validBoot, "\n", 2)[1] + validOrder)},
	{"list number overwritten within a batch", oneBatch(validBoot + `["register",3,[["std","SERVING",0,null,1,"z","c2"]]]
["fleet",1,2,3,"FULL"]
` + validOrder)},
	{"first list is not a saved one", oneBatch(strings.Replace(validBoot, "SAVED", "FULL", 1) + validOrder)},
	{"saved list again, of a new node", oneBatch(validBoot + newNodeList + `["fleet",1,2,4,"SAVED"]` + "\n" + orders(6, "null"))},
	{"full list of a new node", oneBatch(validBoot + newNodeList + `["fleet",1,2,4,"FULL"]` + "\n" + orders(6, "null"))},
	{"burst of a tenant beyond its quota", oneBatch(validBoot + orders(60, `"acme"`))},
	{"burst without a tenant", oneBatch(validBoot + orders(60, "null"))},
	{"no endpoint list", oneBatch(strings.Split(validBoot, "\n")[1] + "\n" + validOrder)},
	{"boot of a running instance", oneBatch(validBoot+validOrder) + oneBatch(validBoot+validOrder)},
	{"id reused after its request has finished", oneBatch(validBoot+validOrder) +
		oneBatch(`["returned",1,"t","c1",0,1,4.5,"pass",true,null]`+"\n") + oneBatch(validOrder)},
	{"zero and negative remaining time", oneBatch(validBoot + strings.Replace(validOrder, "500", "0", 1) +
		strings.NewReplacer("500", "-5", `"t"`, `"u"`).Replace(validOrder))},
	{"times rounded to tenths", oneBatch(validBoot + strings.Replace(validOrder, "500", "500.0499", 1) +
		strings.NewReplacer("500", "500.05", `"t"`, `"u"`).Replace(validOrder))},
	{"malformed and empty reports of a peer", oneBatch(validBoot + `["from-peer",1,1,"hi 7"]` + "\n" +
		`["from-peer",1,1]` + "\n" + validOrder)},
	{"second outcome of an attempt", oneBatch(validBoot+validOrder) + oneBatch(strings.Repeat(
		`["returned",1,"t","c1",0,2,4.5,"none_here",false,{"x0":0.4}]`+"\n", 2))},
}

// TestLenientGolden compares the output for unusual but valid inputs with the golden file.
func TestLenientGolden(t *testing.T) {
	var table bytes.Buffer
	for _, c := range lenientInputs {
		var output bytes.Buffer
		if err := simadapter.Serve(strings.NewReader(c.input), &output); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		fmt.Fprintf(&table, "# %s\n%s", c.name, blankLogTexts(output.Bytes()))
	}
	goldentest.Text(t, "lenient.golden", table.String())
}
