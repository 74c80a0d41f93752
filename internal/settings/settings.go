// Package settings reads the settings object, a JSON object that the simulator's messages and the proxy's configuration
// share, into the settings of a balancer and the names behind the balancer's indices.
package settings

import (
	"errors"
	"math"

	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// maxCount is the upper bound of the numbers of proxies and of attempts.
const maxCount = 1e6

var (
	errNone      = errors.New("none")
	errDuplicate = errors.New("doubled")
)

// Values of the settings for balancer's enumerations.
var (
	effects = map[string]balancer.Effect{
		"pure": balancer.Retriable, "token": balancer.Deduped, "side_effect": balancer.NonRetriable,
	}
	groups = map[string]balancer.Group{
		"": balancer.GroupAll, "all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell,
	}
)

// Book holds the settings. It is not modified once it is read, so that any goroutine may use it.
type Book struct {
	Terms    balancer.Terms
	Routes   map[string]int // the balancer's index of a route, by name
	Tenants  map[string]int // the balancer's index of a tenant, by name
	Zones    map[string]int // the balancer's index of a zone, by name
	Origin   string         // kind of the endpoints that are origins; "": there are none
	Idle     balancer.Time  // servers close a connection that has been idle for this long; 0: not known
	Longest  balancer.Time  // the longest overall timeout of a route
	Locality string         // zone of this proxy; "": not known
}

// Read reads the settings object. Unknown keys are skipped. The error names the first value that is wrong by its
// path, and wraps one of the errors of package jsonvalue where that says why; with an error the result must not be
// used.
func Read(v *fastjson.Value) (*Book, error) {
	var err error
	r := reader{root: v, err: &err}
	s := &Book{
		Routes: map[string]int{}, Tenants: map[string]int{}, Zones: map[string]int{},
		Idle:     r.duration(jsonvalue.Optional, "limits", "conn-idle"),
		Locality: r.text(jsonvalue.Optional, "locality"),
	}
	s.Terms = readBalancerSettings(r)
	s.readMembership(r)
	s.readOrigin(r)
	for i, zone := range r.list(jsonvalue.Optional, "zones") {
		s.Zones[string(zone.GetStringBytes())] = i
	}
	s.readTenants(r)
	s.readRoutes(r)
	return s, err
}

// readBalancerSettings reads the settings that are a value each.
func readBalancerSettings(r reader) balancer.Terms {
	const optional, required = jsonvalue.Optional, jsonvalue.Required
	return balancer.Terms{
		Proxies:        r.integer(1, maxCount, "replicas-of-me"),
		BeyondShare:    r.number(optional, "beyond-share-value"),
		Punctual:       r.number(optional, "goal", "punctual") > 0,
		Aside:          r.text(optional, "family-info", "mode") == "aside",
		MayCancel:      r.flag("limits", "may-cancel"),
		Parallel:       r.flag("limits", "parallel-tries"),
		MaxTries:       r.integer(1, maxCount, "limits", "max-upstream-tries"),
		RetryAfter:     r.flag("limits", "retry-after"),
		MaxRetryAfter:  r.duration(optional, "limits", "max-retry-after"),
		Tick:           r.duration(required, "tick"),
		ConnectTimeout: r.duration(optional, "limits", "connect-timeout"),
		Ask:            r.text(optional, "membership-mode") == "ask",
		AskEvery:       r.duration(optional, "rules", "ask-every"),
		Cold:           r.duration(required, "rules", "cold"),
		Fall:           r.duration(required, "rules", "fall"),
		ColdFrom:       r.number(required, "rules", "cold-from"),
		FallMultiple:   r.number(required, "rules", "fall-multiple"),
		Fetch:          r.number(optional, "fees", "origin"),
		RoughWeights:   readRoughWeights(r),
	}
}

// readRoughWeights reports whether the endpoints' weights are approximate.
func readRoughWeights(r reader) bool {
	weights := r.text(jsonvalue.Optional, "weights")
	return weights == "rough" || weights == "nominal"
}

// readMembership reads how the list of endpoints is received, and this proxy's number among its peers.
func (s *Book) readMembership(r reader) {
	switch r.text(jsonvalue.Optional, "membership-mode") {
	case "", "ask", "push":
	default:
		r.fail([]string{"membership-mode"}, jsonvalue.ErrOutOfRange)
	}
	mayNotify := r.flag("limits", "may-tell")
	if mayNotify || r.has("me") {
		s.Terms.Me = r.integer(0, s.Terms.Proxies-1, "me")
	}
	if mayNotify {
		s.Terms.Peers = s.Terms.Proxies - 1
	}
}

// readOrigin reads the fee of a fetch from the origin and the origin's kind, which is given by its index among the
// shapes.
func (s *Book) readOrigin(r reader) {
	if s.Terms.Fetch < 0 {
		r.fail([]string{"fees", "origin"}, jsonvalue.ErrOutOfRange)
	}
	shapes := r.list(jsonvalue.Required, "shapes")
	if r.root.Get("family-info") == nil {
		return
	}
	kind := int(r.number(jsonvalue.Optional, "family-info", "origin-kind"))
	if s.Terms.Aside && kind >= 0 && kind < len(shapes) {
		s.Origin = string(shapes[kind].GetStringBytes())
	}
}

func (s *Book) readTenants(r reader) {
	for i, tenant := range r.list(jsonvalue.Optional, "tenants") {
		entry := r.entry("tenants", i, tenant)
		s.Tenants[entry.text(jsonvalue.Required, "name")] = i
		s.Terms.Allowance = append(s.Terms.Allowance, entry.notNegative(jsonvalue.Optional, "allowance-per-s"))
	}
}

func (s *Book) readRoutes(r reader) {
	routes := r.list(jsonvalue.Required, "routes")
	if len(routes) == 0 {
		r.fail([]string{"routes"}, errNone)
	}
	for i, v := range routes {
		entry := r.entry("routes", i, v)
		route := readRoute(entry)
		s.Longest = max(s.Longest, route.Overall)
		s.Terms.Routes = append(s.Terms.Routes, route)
		name := entry.text(jsonvalue.Required, "name")
		if _, duplicate := s.Routes[name]; duplicate {
			entry.fail([]string{"name"}, errDuplicate)
		}
		s.Routes[name] = i
	}
}

func readRoute(r reader) balancer.Route {
	route := balancer.Route{
		Objective: r.positiveDuration("latency-objective"),
		Overall:   r.positiveDuration("overall-timeout"),
		Value:     r.notNegative(jsonvalue.Required, "value"),
		Overdue:   r.number(jsonvalue.Optional, "overdue-value"),
		Window:    Tenths(r.notNegative(jsonvalue.Optional, "dedup-window")),
	}
	if route.Overdue < 0 || route.Overdue > 1 {
		r.fail([]string{"overdue-value"}, jsonvalue.ErrOutOfRange)
	}
	effect, group := r.text(jsonvalue.Required, "effect"), r.text(jsonvalue.Optional, "group")
	var ok bool
	if route.Effect, ok = effects[effect]; !ok {
		r.fail([]string{"effect"}, jsonvalue.ErrOutOfRange)
	}
	if route.Group, ok = groups[group]; !ok {
		r.fail([]string{"group"}, jsonvalue.ErrOutOfRange)
	}
	return route
}

// Tenths converts milliseconds to balancer's time, which counts tenths of a millisecond, and rounds to the nearest.
func Tenths(ms float64) balancer.Time {
	const limit = 1e14 // milliseconds; far beyond any time, and within an int64 in tenths
	return balancer.Time(math.Round(min(max(ms, -limit), limit) * 10))
}
