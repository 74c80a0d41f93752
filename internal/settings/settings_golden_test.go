package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/balancer"

	"github.com/valyala/fastjson"
)

// Values in the settings for the balancer's enumerations.
var (
	effectNames = map[balancer.Effect]string{
		balancer.Retriable: "pure", balancer.Deduped: "token", balancer.NonRetriable: "side_effect",
	}
	groupNames = map[balancer.Group]string{balancer.GroupAll: "all", balancer.GroupZone: "zone", balancer.GroupCell: "cell"}
)

// readSettings reads a settings object from its JSON text.
func readSettings(text string) (*Settings, error) {
	object, err := fastjson.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("test input: %w", err)
	}
	return Read(object)
}

// describeSettings formats the settings in a JSON text, or the error.
func describeSettings(text string) string {
	settings, err := readSettings(text)
	if err != nil {
		return fmt.Sprintf("error: %v\n", err)
	}
	return formatSettings(settings)
}

// settingsReport collects one line for each setting.
type settingsReport struct{ text strings.Builder }

func (r *settingsReport) line(label string, value any) {
	fmt.Fprintf(&r.text, "%s = %v\n", label, value)
}

// formatSettings formats the settings, one per line. The labels are the keys of the file, whatever the fields are called.
func formatSettings(settings *Settings) string {
	var report settingsReport
	report.general(settings)
	report.limits(settings)
	report.names(settings)
	for i := range settings.Balancer.Routes {
		report.route(i, &settings.Balancer.Routes[i])
	}
	report.line("longest overall-timeout", milliseconds(settings.LongestTimeout))
	return report.text.String()
}

func (r *settingsReport) general(settings *Settings) {
	s := &settings.Balancer
	r.line("replicas-of-me", s.Proxies)
	r.line("me", s.Self)
	r.line("limits.may-tell, number of notified peers", s.PeerCount)
	r.line("beyond-share-value", s.OverQuotaWeight)
	r.line("locality", settings.LocalZone)
	r.line("membership-mode is ask", s.PollsList)
	r.line("weights are rough", s.ApproximateWeights)
	r.line("tick", milliseconds(s.Tick))
	r.line("goal.punctual", s.LateIsFailure)
	r.line("family-info.mode is aside", s.CacheAside)
	r.line("family-info.origin-kind, name of the shape", settings.OriginKind)
}

func (r *settingsReport) limits(settings *Settings) {
	s := &settings.Balancer
	r.line("limits.conn-idle", milliseconds(settings.ServerIdleTimeout))
	r.line("limits.connect-timeout", milliseconds(s.ConnectTimeout))
	r.line("limits.may-cancel", s.MayCancel)
	r.line("limits.parallel-tries", s.ParallelAttempts)
	r.line("limits.max-upstream-tries", s.MaxAttempts)
	r.line("limits.retry-after", s.RetryAfter)
	r.line("limits.max-retry-after", milliseconds(s.MaxRetryAfter))
	r.line("rules.ask-every", milliseconds(s.PollInterval))
	r.line("rules.cold", milliseconds(s.SlowStart))
	r.line("rules.fall", milliseconds(s.SlowStartOverloadWindow))
	r.line("rules.cold-from", s.SlowStartInitialFraction)
	r.line("rules.fall-multiple", s.SlowStartOverloadMultiple)
	r.line("fees.origin", s.FetchCost)
}

func (r *settingsReport) names(settings *Settings) {
	r.line("zones", namesByIndex(settings.Zones))
	r.line("tenants, names", namesByIndex(settings.Tenants))
	r.line("tenants, allowance-per-s", settings.Balancer.TenantQuotas)
	r.line("routes, names", namesByIndex(settings.Routes))
}

func (r *settingsReport) route(i int, route *balancer.Route) {
	label := func(key string) string { return fmt.Sprintf("routes[%d].%s", i, key) }
	r.line(label("latency-objective"), milliseconds(route.Objective))
	r.line(label("overall-timeout"), milliseconds(route.Timeout))
	r.line(label("value"), route.Value)
	r.line(label("overdue-value"), route.LateValue)
	r.line(label("dedup-window"), milliseconds(route.DedupWindow))
	r.line(label("effect"), effectNames[route.Effect])
	r.line(label("group"), groupNames[route.Group])
}

// milliseconds formats the balancer's time, which is in tenths of a millisecond, in milliseconds, the unit of the file.
func milliseconds(t balancer.Time) string { return fmt.Sprintf("%v ms", float64(t)/10) }

// namesByIndex returns the names in the order of their indices.
func namesByIndex(indices map[string]int) []string {
	var entries []string
	for name, index := range indices {
		entries = append(entries, fmt.Sprintf("%d:%s", index, name))
	}
	slices.Sort(entries)
	return entries
}

func TestEveryKeyIsRead(t *testing.T) {
	goldentest.Text(t, "settings_every_key.golden", describeSettings(goldentest.Read(t, "settings_every_key.json")))
}

func TestDefaultsOfAbsentKeys(t *testing.T) {
	goldentest.Text(t, "settings_defaults.golden", describeSettings(goldentest.Read(t, "settings_required_keys.json")))
}

// Leaving out a key must change only the value that it determines; leaving out a required key must give an error with
// its name.
func TestEachKeyLeftOut(t *testing.T) {
	for _, name := range []string{"settings_every_key", "settings_required_keys"} {
		goldentest.Text(t, name+"_left_out.golden", goldentest.LeaveOutEachKey(goldentest.Read(t, name+".json"), describeSettings))
	}
}

// The golden file contains the settings that change if a value is replaced by another permitted one or by null, or is
// given twice.
func TestVariantsOfValues(t *testing.T) {
	every := goldentest.Read(t, "settings_every_key.json")
	var report strings.Builder
	for _, change := range []struct{ from, to string }{
		{`"membership-mode": "ask"`, `"membership-mode": "push"`},
		{`"membership-mode": "ask"`, `"membership-mode": ""`},
		{`"weights": "rough"`, `"weights": "nominal"`},
		{`"weights": "rough"`, `"weights": "exact"`},
		{`"mode": "aside"`, `"mode": "through"`},
		{`"origin-kind": 2`, `"origin-kind": 0`},
		{`"origin-kind": 2`, `"origin-kind": 3`},
		{`"origin-kind": 2`, `"origin-kind": -1`},
		{`"punctual": 2`, `"punctual": 0`},
		{`"group": "cell"`, `"group": ""`},
		{`"group": "cell"`, `"group": null`},
		{`"may-cancel": true`, `"may-cancel": null`},
		{`"may-cancel": true`, `"may-cancel": false`},
		{`"tick": 7.3`, `"tick": 7.34`},
		{`"tick": 7.3`, `"tick": 7.36`},
		{`"tick": 7.3`, `"tick": 0`},
		{`"tick": 7.3`, `"tick": 7.3, "tick": 9.9`},
		{`"tick": 7.3`, `"tick": 7.3, "not-known": 1`},
	} {
		text := strings.Replace(every, change.from, change.to, 1)
		if text == every {
			t.Errorf("%s is not in the file", change.from)
		}
		changed := goldentest.ChangedLines(describeSettings(text), describeSettings(every))
		fmt.Fprintf(&report, "%s instead of %s:\n%s", change.to, change.from, changed)
	}
	goldentest.Text(t, "settings_variants.golden", report.String())
}

func TestBadSettingsNameTheValue(t *testing.T) {
	every := goldentest.Read(t, "settings_every_key.json")
	for _, c := range []struct{ from, to, want string }{
		{`"replicas-of-me": 7`, `"replicas-of-me": 0`, "setup replicas-of-me: out of its range"},
		{`"replicas-of-me": 7`, `"replicas-of-me": 7.5`, "setup replicas-of-me: out of its range"},
		{`"replicas-of-me": 7`, `"replicas-of-me": 1000001`, "setup replicas-of-me: out of its range"},
		{`"replicas-of-me": 7`, `"replicas-of-me": "7"`, "setup replicas-of-me: mistyped"},
		{`"replicas-of-me": 7`, `"replicas-of-me": null`, "setup replicas-of-me: missing"},
		{`"me": 5`, `"me": 7`, "setup me: out of its range"},
		{`"me": 5`, `"me": null`, "setup me: missing"},
		{`"me": 5`, `"me": "five"`, "setup me: mistyped"},
		{`"beyond-share-value": 0.37`, `"beyond-share-value": []`, "setup beyond-share-value: mistyped"},
		{`"locality": "south"`, `"locality": 3`, "setup locality: mistyped"},
		{`"membership-mode": "ask"`, `"membership-mode": "guess"`, "setup membership-mode: out of its range"},
		{`"weights": "rough"`, `"weights": true`, "setup weights: mistyped"},
		{`"tick": 7.3`, `"tick": "7.3"`, "setup tick: mistyped"},
		{`"punctual": 2`, `"punctual": true`, "setup goal.punctual: mistyped"},
		{`"mode": "aside"`, `"mode": 1`, "setup family-info.mode: mistyped"},
		{`"origin-kind": 2`, `"origin-kind": "store"`, "setup family-info.origin-kind: mistyped"},
		{`"conn-idle": 12345.6`, `"conn-idle": "long"`, "setup limits.conn-idle: mistyped"},
		{`"may-cancel": true`, `"may-cancel": 1`, "setup limits.may-cancel: mistyped"},
		{`"may-tell": true`, `"may-tell": "true"`, "setup limits.may-tell: mistyped"},
		{`"parallel-tries": true`, `"parallel-tries": {}`, "setup limits.parallel-tries: mistyped"},
		{`"max-upstream-tries": 11`, `"max-upstream-tries": 0`, "setup limits.max-upstream-tries: out of its range"},
		{`"retry-after": true`, `"retry-after": 0`, "setup limits.retry-after: mistyped"},
		{`"cold": 8765.1`, `"cold": false`, "setup rules.cold: mistyped"},
		{`"origin": 0.66`, `"origin": -0.66`, "setup fees.origin: out of its range"},
		{`"shapes": ["small", "large", "store"]`, `"shapes": "small"`, "setup shapes: mistyped"},
		{`"zones": ["north", "south", "west"]`, `"zones": {}`, "setup zones: mistyped"},
		{`"name": "shop"`, `"name": 7`, "setup tenants[0].name: mistyped"},
		{`"allowance-per-s": 83.25`, `"allowance-per-s": -1`, "setup tenants[1].allowance-per-s: out of its range"},
		{`"name": "put"`, `"name": "read"`, "setup routes[1].name: doubled"},
		{`"latency-objective": 622.2`, `"latency-objective": 0`, "setup routes[1].latency-objective: out of its range"},
		{`"overall-timeout": 1444.4`, `"overall-timeout": -1`, "setup routes[2].overall-timeout: out of its range"},
		{`"value": 6.5`, `"value": -6.5`, "setup routes[1].value: out of its range"},
		{`"overdue-value": 0.33`, `"overdue-value": 1.01`, "setup routes[2].overdue-value: out of its range"},
		{`"dedup-window": 6789.1`, `"dedup-window": -0.1`, "setup routes[1].dedup-window: out of its range"},
		{`"effect": "side_effect"`, `"effect": "side-effect"`, "setup routes[2].effect: out of its range"},
		{`"group": "cell"`, `"group": "rack"`, "setup routes[2].group: out of its range"},
		{`"routes": [`, `"routes": [], "left-out": [`, "setup routes: none"},
	} {
		t.Run(c.from+" replaced by "+c.to, func(t *testing.T) {
			text := strings.Replace(every, c.from, c.to, 1)
			if text == every {
				t.Errorf("%s is not in the file", c.from)
			}
			_, err := readSettings(text)
			if err == nil {
				err = errors.New("no error")
			}
			if err.Error() != c.want {
				t.Errorf("%s: got error %q, want %q", c.to, err, c.want)
			}
		})
	}
}
