// Package settings reads the settings object, which the simulator and the proxy's configuration share, into the
// figures that the module starts from and the names that its small indices stand for.
package settings

import (
	"fmt"
	"math"
	"strings"

	"woodproxy/balancer"

	"github.com/valyala/fastjson"
)

// Book is what the settings say: the module's terms, the names behind its indices, and what the proxy needs
// of connections.
type Book struct {
	Terms    balancer.Terms
	Routes   map[string]int
	Tenants  map[string]int
	Zones    map[string]int
	Origin   string        // kind name of the origin, "" where there is none
	Idle     balancer.Time // a connection that has stood idle this long is closed by the other side
	Longest  balancer.Time // overall timeout of the most patient route
	Locality string        // zone of this proxy
}

// chart reads the object by path and keeps the first thing found wrong.
type chart struct {
	root *fastjson.Value
	err  *error
	in   string // the list and place that it is an entry of, with a dot behind
}

func (c chart) fail(path []string, what string) {
	if *c.err == nil {
		*c.err = fmt.Errorf("setup %s%s: %s", c.in, strings.Join(path, "."), what)
	}
}

// get returns nil where the value is absent or null; that is wrong where it is needed.
func (c chart) get(needed bool, path []string) *fastjson.Value {
	v := c.root.Get(path...)
	if v != nil && v.Type() != fastjson.TypeNull {
		return v
	}
	if needed {
		c.fail(path, "missing")
	}
	return nil
}

func (c chart) number(needed bool, path ...string) float64 {
	v := c.get(needed, path)
	if v == nil {
		return 0
	}
	n, err := v.Float64()
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		c.fail(path, "mistyped")
	}
	return n
}

// whole reads a whole number within a range.
func (c chart) whole(least, most int, path ...string) int {
	n := c.number(need, path...)
	if n != math.Trunc(n) || n < float64(least) || n > float64(most) {
		c.fail(path, "out of its range")
	}
	return int(n)
}

// span reads a time that nothing can be served without.
func (c chart) span(path ...string) balancer.Time {
	t := c.time(need, path...)
	if t <= 0 {
		c.fail(path, "out of its range")
	}
	return t
}

// least reads a number that is not negative.
func (c chart) least(needed bool, path ...string) float64 {
	n := c.number(needed, path...)
	if n < 0 {
		c.fail(path, "out of its range")
	}
	return n
}

func (c chart) time(needed bool, path ...string) balancer.Time {
	return Tenths(c.number(needed, path...))
}

func (c chart) text(needed bool, path ...string) string {
	v := c.get(needed, path)
	if v == nil {
		return ""
	}
	s, err := v.StringBytes()
	if err != nil {
		c.fail(path, "mistyped")
	}
	return string(s)
}

func (c chart) flag(path ...string) bool {
	v := c.get(may, path)
	if v == nil {
		return false
	}
	on, err := v.Bool()
	if err != nil {
		c.fail(path, "mistyped")
	}
	return on
}

func (c chart) list(needed bool, path ...string) []*fastjson.Value {
	v := c.get(needed, path)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		c.fail(path, "mistyped")
	}
	return a
}

const (
	need = true
	may  = false
)

var effects = map[string]balancer.Effect{
	"pure": balancer.Retriable, "token": balancer.Deduped, "side_effect": balancer.NonRetriable,
}

var groups = map[string]balancer.Group{
	"": balancer.GroupAll, "all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell,
}

// Read takes the settings object. Keys that it does not know are skipped.
func Read(v *fastjson.Value) (*Book, error) {
	var err error
	c := chart{root: v, err: &err}
	p := &Book{
		Routes: map[string]int{}, Tenants: map[string]int{}, Zones: map[string]int{},
		Idle:     c.time(may, "limits", "conn-idle"),
		Locality: c.text(may, "locality"),
	}
	p.Terms = balancer.Terms{
		Proxies:        c.whole(1, 1e6, "replicas-of-me"),
		BeyondShare:    c.number(may, "beyond-share-value"),
		Punctual:       c.number(may, "goal", "punctual") > 0,
		Aside:          c.text(may, "family-info", "mode") == "aside",
		MayCancel:      c.flag("limits", "may-cancel"),
		Parallel:       c.flag("limits", "parallel-tries"),
		MaxTries:       c.whole(1, 1e6, "limits", "max-upstream-tries"),
		RetryAfter:     c.flag("limits", "retry-after"),
		MaxRetryAfter:  c.time(may, "limits", "max-retry-after"),
		Tick:           c.time(need, "tick"),
		ConnectTimeout: c.time(may, "limits", "connect-timeout"),
		Ask:            c.text(may, "membership-mode") == "ask",
		AskEvery:       c.time(may, "rules", "ask-every"),
		Cold:           c.time(need, "rules", "cold"),
		Fall:           c.time(need, "rules", "fall"),
		ColdFrom:       c.number(need, "rules", "cold-from"),
		FallMultiple:   c.number(need, "rules", "fall-multiple"),
		Fetch:          c.number(may, "fees", "origin"),
		RoughWeights:   c.text(may, "weights") == "rough" || c.text(may, "weights") == "nominal",
	}
	if m := c.text(may, "membership-mode"); m != "" && m != "ask" && m != "push" {
		c.fail([]string{"membership-mode"}, "out of its range")
	}
	tell := c.flag("limits", "may-tell")
	if tell || c.get(may, []string{"me"}) != nil {
		p.Terms.Me = c.whole(0, p.Terms.Proxies-1, "me")
	}
	if tell {
		p.Terms.Peers = p.Terms.Proxies - 1
	}
	if p.Terms.Fetch < 0 {
		c.fail([]string{"fees", "origin"}, "out of its range")
	}
	shapes := c.list(need, "shapes")
	if v.Get("family-info") != nil {
		if k := int(c.number(may, "family-info", "origin-kind")); p.Terms.Aside && k >= 0 && k < len(shapes) {
			p.Origin = string(shapes[k].GetStringBytes())
		}
	}
	for i, z := range c.list(may, "zones") {
		p.Zones[string(z.GetStringBytes())] = i
	}
	for i, v := range c.list(may, "tenants") {
		c := chart{v, &err, fmt.Sprintf("tenants[%d].", i)}
		p.Tenants[c.text(need, "name")] = i
		p.Terms.Allowance = append(p.Terms.Allowance, c.least(may, "allowance-per-s"))
	}
	routes := c.list(need, "routes")
	if len(routes) == 0 {
		c.fail([]string{"routes"}, "none")
	}
	for i, v := range routes {
		c := chart{v, &err, fmt.Sprintf("routes[%d].", i)}
		r := balancer.Route{
			Objective: c.span("latency-objective"), Overall: c.span("overall-timeout"),
			Value: c.least(need, "value"), Overdue: c.number(may, "overdue-value"),
			Window: Tenths(c.least(may, "dedup-window")),
		}
		if r.Overdue < 0 || r.Overdue > 1 {
			c.fail([]string{"overdue-value"}, "out of its range")
		}
		effect, group := c.text(need, "effect"), c.text(may, "group")
		var ok bool
		if r.Effect, ok = effects[effect]; !ok {
			c.fail([]string{"effect"}, "out of its range")
		}
		if r.Group, ok = groups[group]; !ok {
			c.fail([]string{"group"}, "out of its range")
		}
		p.Longest = max(p.Longest, r.Overall)
		name := c.text(need, "name")
		if _, doubled := p.Routes[name]; doubled {
			c.fail([]string{"name"}, "doubled")
		}
		p.Routes[name] = i
		p.Terms.Routes = append(p.Terms.Routes, r)
	}
	return p, err
}

// Tenths turns milliseconds into the module's time.
func Tenths(ms float64) balancer.Time {
	return balancer.Time(math.Round(min(max(ms, -1e14), 1e14) * 10))
}
