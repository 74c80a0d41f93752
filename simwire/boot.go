package simwire

import (
	"github.com/valyala/fastjson"

	"woodproxy/brain"
)

// chart reads the settings object by path; a key that is needed and missing is named.
type chart struct {
	f    *fields
	root *fastjson.Value
}

func (c chart) number(needed bool, path ...string) float64 {
	v := c.root.Get(path...)
	e := fields{name: c.f.name, vals: []*fastjson.Value{v}}
	if v == nil {
		e.vals = nil
	}
	n := e.number(0, "setup "+join(path), needed)
	if e.err != nil && c.f.err == nil {
		c.f.err = e.err
	}
	return n
}

func (c chart) time(needed bool, path ...string) brain.Time { return tenths(c.number(needed, path...)) }

func (c chart) text(needed bool, path ...string) string {
	v := c.root.Get(path...)
	e := fields{name: c.f.name, vals: []*fastjson.Value{v}}
	if v == nil {
		e.vals = nil
	}
	s := e.text(0, "setup "+join(path), needed)
	if e.err != nil && c.f.err == nil {
		c.f.err = e.err
	}
	return s
}

func (c chart) flag(path ...string) bool {
	v := c.root.Get(path...)
	if v == nil || v.Type() == fastjson.TypeNull {
		return false
	}
	on, err := v.Bool()
	if err != nil {
		c.f.fail("setup "+join(path), "mistyped")
	}
	return on
}

func (c chart) list(needed bool, key string) []*fastjson.Value {
	v := c.root.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		if needed {
			c.f.fail("setup "+key, "missing")
		}
		return nil
	}
	a, err := v.Array()
	if err != nil {
		c.f.fail("setup "+key, "mistyped")
	}
	return a
}

func join(path []string) string {
	s := path[0]
	for _, p := range path[1:] {
		s += "." + p
	}
	return s
}

var effects = map[string]brain.Effect{
	"pure": brain.Retriable, "token": brain.Deduped, "side_effect": brain.NonRetriable,
}

var groups = map[string]brain.Group{
	"": brain.GroupAll, "all": brain.GroupAll, "zone": brain.GroupZone, "cell": brain.GroupCell,
}

// boot starts an instance from its settings, under which it knows nothing of an earlier one.
func (h *host) boot(_ *proxy, f *fields, who int) []brain.Decision {
	seed := f.number(1, "salt", need)
	salt := uint64(0)
	if f.err == nil {
		if u, err := f.at(1).Uint64(); err == nil {
			salt = u
		} else {
			salt = uint64(int64(seed))
		}
	}
	v := f.at(2)
	if v == nil || v.Type() != fastjson.TypeObject {
		f.fail("setup", "missing or mistyped")
		return nil
	}
	c := chart{f, v}
	p := &proxy{routes: map[string]int{}, tenants: map[string]int{}, zones: map[string]int{},
		nodes: map[string]int{}, trays: map[string]int{}}
	t := brain.Terms{
		Proxies:       int(c.number(need, "replicas-of-me")),
		BeyondShare:   c.number(may, "beyond-share-value"),
		Punctual:      c.number(may, "goal", "punctual") > 0,
		Aside:         c.text(may, "family-info", "mode") == "aside",
		MayCancel:     c.flag("limits", "may-cancel"),
		MaxTries:      int(c.number(need, "limits", "max-upstream-tries")),
		RetryAfter:    c.flag("limits", "retry-after"),
		MaxRetryAfter: c.time(may, "limits", "max-retry-after"),
		Tick:          c.time(need, "tick"),
		Ask:           c.text(may, "membership-mode") == "ask",
		AskEvery:      c.time(may, "rules", "ask-every"),
		Cold:          c.time(need, "rules", "cold"),
		Fall:          c.time(need, "rules", "fall"),
		ColdFrom:      c.number(need, "rules", "cold-from"),
		FallMultiple:  c.number(need, "rules", "fall-multiple"),
		Connection:    c.number(may, "fees", "connection"),
		Handshake:     c.number(may, "fees", "handshake"),
		RoughWeights:  c.text(may, "weights") == "rough" || c.text(may, "weights") == "nominal",
	}
	shapes := c.list(need, "shapes")
	if v.Get("family-info") != nil {
		if k := int(c.number(may, "family-info", "origin-kind")); t.Aside && k >= 0 && k < len(shapes) {
			p.origin = string(shapes[k].GetStringBytes())
		}
	}
	for i, z := range c.list(may, "zones") {
		p.zones[string(z.GetStringBytes())] = i
	}
	for i, v := range c.list(may, "tenants") {
		c := chart{f, v}
		p.tenants[c.text(need, "name")] = i
		t.Allowance = append(t.Allowance, c.number(may, "allowance-per-s"))
	}
	for i, v := range c.list(need, "routes") {
		c := chart{f, v}
		r := brain.Route{Objective: c.time(need, "latency-objective"), Overall: c.time(need, "overall-timeout"),
			Value: c.number(need, "value"), Overdue: c.number(may, "overdue-value"),
			Window: c.time(may, "dedup-window")}
		effect, group := c.text(need, "effect"), c.text(may, "group")
		var ok bool
		if r.Effect, ok = effects[effect]; !ok && f.err == nil {
			f.fail("setup effect", "out of its range")
		}
		if r.Group, ok = groups[group]; !ok && f.err == nil {
			f.fail("setup group", "out of its range")
		}
		p.routes[c.text(need, "name")] = i
		t.Routes = append(t.Routes, r)
	}
	if f.err != nil {
		return nil
	}
	p.mind = brain.New(h.now, t, salt)
	h.proxies[who] = p
	return nil
}
