package emulator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// surplusScenario is the load of the surplus response tests: one proxy, four caches and an origin that rejects three in ten
// of its requests; a quarter of the requests are writes that must not be executed twice.
const surplusScenario = `name = "surplus"
length_s = 8.0
proxies = 1
fleet = { nodes = 4, cores = 8, service_ms = 3.0, queue = 200, cold_s = 0.0, cold_from = 0.4 }
origin = { cores = 16, service_ms = 6.0, queue = 200 }
keys = { count = 800, zipf = 1.1, warm = 0.8 }
load = { rate = 120.0 }
route = [
  { name = "read", share = 0.75, objective_ms = 500.0, overall_ms = 1000.0, value = 1.0 },
  { name = "once", share = 0.25, objective_ms = 500.0, overall_ms = 1000.0, value = 2.0, write = true },
]
[[trouble]]
kind = "origin-busy"
at_s = 0.0
for_s = 8.0
part = 0.3
`

// surplusFault returns a fault of surplus responses over the whole scenario.
func surplusFault(kind string, fraction float64, least, most time.Duration) string {
	return fmt.Sprintf(`kind = "surplus"; at_s = 0.0; for_s = 8.0; surplus = %q; part = %v; least_ms = %d.0; slow_ms = %d.0`,
		kind, fraction, least.Milliseconds(), most.Milliseconds())
}

// surplusCase is a fault of surplus responses.
type surplusCase struct {
	name    string
	fault   string // "": none
	changes []string
}

// maxConnsWithoutFaults is the number of connections that the scenario may take without surplus responses.
const maxConnsWithoutFaults = 70

var surplusCases = []surplusCase{
	{name: "none"},
	{name: "copies within 30 ms", fault: surplusFault("copy", 0.3, 2*time.Millisecond, 30*time.Millisecond)},
	{name: "refusals within 30 ms", fault: surplusFault("refusal", 0.3, 2*time.Millisecond, 30*time.Millisecond)},
	{
		name: "copies within 30 ms, 400 requests per second", fault: surplusFault("copy", 0.1, 2*time.Millisecond, 30*time.Millisecond),
		changes: []string{"rate = 120.0", "rate = 400.0"},
	},
	{
		name: "long copies within 50 ms", fault: surplusFault("copy", 0.3, 2*time.Millisecond, 45*time.Millisecond),
		changes: []string{"warm = 0.8", "warm = 0.8, size = 100000"},
	},
	{name: "copies after 60 to 300 ms", fault: surplusFault("copy", 0.3, 60*time.Millisecond, 300*time.Millisecond)},
	{name: "refusals after 60 to 300 ms", fault: surplusFault("refusal", 0.3, 60*time.Millisecond, 300*time.Millisecond)},
	{name: "copies after 0.5 to 1.5 s", fault: surplusFault("copy", 0.3, 500*time.Millisecond, 1500*time.Millisecond)},
	{name: "misses after 60 to 300 ms", fault: surplusFault("miss", 0.3, 60*time.Millisecond, 300*time.Millisecond)},
	{name: "errors within 30 ms", fault: surplusFault("error", 0.3, 2*time.Millisecond, 30*time.Millisecond)},
	{name: "halves within 30 ms", fault: surplusFault("half", 0.3, 2*time.Millisecond, 30*time.Millisecond)},
	{name: "unasked refusals at rest", fault: surplusFault("unasked", 0.3, 60*time.Millisecond, 1000*time.Millisecond)},
	{
		name: "reads that must not be executed twice, misses and refusals", fault: surplusFault("miss", 0.3, 60*time.Millisecond, 300*time.Millisecond),
		changes: []string{`value = 1.0 }`, `value = 1.0, unsafe = true }`},
	},
}

// Guards against responses that are taken for those of another request: servers follow a share of their responses by one
// more. No client receives a value of another request if the surplus response comes within 50 ms, and at most one for each
// server if it comes later. However late it comes, no request that must not be executed twice is sent again while it may
// run, executed twice, or rejected although it ran.
func TestSurplusResponsesAreNotMisattributed(t *testing.T) {
	start := buildProgram(t)
	for _, c := range surplusCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			text := strings.NewReplacer(c.changes...).Replace(surplusScenario)
			if c.fault != "" {
				text = withFaults(text, c.fault)
			}
			r := play(t, text, start)
			counts := countViolations(r)
			connections := r.ResourceUsage.ConnsToNodes
			t.Logf("%s: %d requests, %d surplus responses: %d wrong, %d sent again, %d executed twice, %d refused although run, %v connections, %v",
				c.name, len(r.Plan.Requests), countEvents(r, emulator.SurplusSent), counts[emulator.OwnValueRule], counts[emulator.ResendRule],
				counts[emulator.SingleEffectRule], counts[emulator.RefusedEffectRule], connections, countOutcomes(r))
			for _, rule := range []emulator.Rule{emulator.OwnValueRule, emulator.ResendRule, emulator.SingleEffectRule, emulator.RefusedEffectRule, emulator.InventedRule, emulator.CrashRule} {
				if counts[rule] > 0 {
					t.Errorf("%q is violated %d times", rule, counts[rule])
				}
			}
			if c.fault == "" && connections >= maxConnsWithoutFaults {
				t.Errorf("%v connections to servers without surplus responses, want fewer than %d", connections, maxConnsWithoutFaults)
			}
			if c.fault != "" && countEvents(r, emulator.SurplusSent) == 0 {
				t.Error("no surplus response was sent")
			}
		})
	}
}

// countEvents counts the events of a kind.
func countEvents(r *emulator.Report, kind emulator.EventKind) (count int) {
	for _, e := range r.Events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}
