// Package settings reads the settings object, a JSON object that is part of the simulator's messages and of the proxy's
// configuration, into the settings of a balancer and the maps of names to the balancer's indices.
package settings

import (
	"errors"
	"math"

	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// maxCount is the maximum number of proxies and of attempts.
const maxCount = 1e6

var (
	errNone      = errors.New("none")
	errDuplicate = errors.New("doubled")
)

// Values in the settings for the balancer's enumerations.
var (
	effects = map[string]balancer.Effect{
		"pure": balancer.Retriable, "token": balancer.Deduped, "side_effect": balancer.NonRetriable,
	}
	groups = map[string]balancer.Group{
		"": balancer.GroupAll, "all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell,
	}
)

// Settings holds the settings. It is not modified after Read, so any goroutine may use it.
type Settings struct {
	Balancer          balancer.Settings
	Routes            map[string]int // balancer's index of a route, by name
	Tenants           map[string]int // balancer's index of a tenant, by name
	Zones             map[string]int // balancer's index of a zone, by name
	OriginKind        string         // kind of the endpoints that are origins; empty: there are none
	ServerIdleTimeout balancer.Time  // idle time after which servers close a connection; 0: unknown
	LongestTimeout    balancer.Time  // longest overall timeout of all routes
	LocalZone         string         // zone of this proxy; empty: unknown
}

// Read reads the settings object. Unknown keys are ignored. The error contains the path of the first invalid value and
// wraps an error of package jsonvalue if one describes the cause. If Read returns an error, the returned settings must
// not be used.
func Read(v *fastjson.Value) (*Settings, error) {
	var err error
	r := reader{root: v, err: &err}
	s := &Settings{
		Routes: map[string]int{}, Tenants: map[string]int{}, Zones: map[string]int{},
		ServerIdleTimeout: r.duration(jsonvalue.Optional, "limits", "conn-idle"),
		LocalZone:         r.text(jsonvalue.Optional, "locality"),
	}
	s.Balancer = readBalancerSettings(r)
	s.readMembership(r)
	s.readOrigin(r)
	for i, zone := range r.list(jsonvalue.Optional, "zones") {
		s.Zones[string(zone.GetStringBytes())] = i
	}
	s.readTenants(r)
	s.readRoutes(r)
	return s, err
}

// readBalancerSettings reads the balancer settings that are single values.
func readBalancerSettings(r reader) balancer.Settings {
	const optional, required = jsonvalue.Optional, jsonvalue.Required
	return balancer.Settings{
		Proxies:                   r.integer(1, maxCount, "replicas-of-me"),
		OverQuotaWeight:           r.number(optional, "beyond-share-value"),
		LateIsFailure:             r.number(optional, "goal", "punctual") > 0,
		CacheAside:                r.text(optional, "family-info", "mode") == "aside",
		MayCancel:                 r.flag("limits", "may-cancel"),
		ParallelAttempts:          r.flag("limits", "parallel-tries"),
		MaxAttempts:               r.integer(1, maxCount, "limits", "max-upstream-tries"),
		RetryAfter:                r.flag("limits", "retry-after"),
		MaxRetryAfter:             r.duration(optional, "limits", "max-retry-after"),
		Tick:                      r.duration(required, "tick"),
		ConnectTimeout:            r.duration(optional, "limits", "connect-timeout"),
		PollsList:                 r.text(optional, "membership-mode") == "ask",
		PollInterval:              r.duration(optional, "rules", "ask-every"),
		SlowStart:                 r.duration(required, "rules", "cold"),
		SlowStartOverloadWindow:   r.duration(required, "rules", "fall"),
		SlowStartInitialFraction:  r.number(required, "rules", "cold-from"),
		SlowStartOverloadMultiple: r.number(required, "rules", "fall-multiple"),
		FetchCost:                 r.number(optional, "fees", "origin"),
		ApproximateWeights:        readApproximateWeights(r),
	}
}

// readApproximateWeights reports whether the endpoints' weights are approximate.
func readApproximateWeights(r reader) bool {
	weights := r.text(jsonvalue.Optional, "weights")
	return weights == "rough" || weights == "nominal"
}

// readMembership reads how the endpoint list is received, the number of peers to notify and this proxy's number among
// the peers.
func (s *Settings) readMembership(r reader) {
	switch r.text(jsonvalue.Optional, "membership-mode") {
	case "", "ask", "push":
	default:
		r.fail([]string{"membership-mode"}, jsonvalue.ErrOutOfRange)
	}
	mayNotify := r.flag("limits", "may-tell")
	if mayNotify || r.has("me") {
		s.Balancer.Self = r.integer(0, s.Balancer.Proxies-1, "me")
	}
	if mayNotify {
		s.Balancer.PeerCount = s.Balancer.Proxies - 1
	}
}

// readOrigin checks the cost of a fetch from the origin and reads the origin's kind, which is given by its index in the
// list of shapes.
func (s *Settings) readOrigin(r reader) {
	if s.Balancer.FetchCost < 0 {
		r.fail([]string{"fees", "origin"}, jsonvalue.ErrOutOfRange)
	}
	shapes := r.list(jsonvalue.Required, "shapes")
	if r.root.Get("family-info") == nil {
		return
	}
	kind := int(r.number(jsonvalue.Optional, "family-info", "origin-kind"))
	if s.Balancer.CacheAside && kind >= 0 && kind < len(shapes) {
		s.OriginKind = string(shapes[kind].GetStringBytes())
	}
}

func (s *Settings) readTenants(r reader) {
	for i, tenant := range r.list(jsonvalue.Optional, "tenants") {
		entry := r.entry("tenants", i, tenant)
		s.Tenants[entry.text(jsonvalue.Required, "name")] = i
		s.Balancer.TenantQuotas = append(s.Balancer.TenantQuotas, entry.nonNegative(jsonvalue.Optional, "allowance-per-s"))
	}
}

func (s *Settings) readRoutes(r reader) {
	routes := r.list(jsonvalue.Required, "routes")
	if len(routes) == 0 {
		r.fail([]string{"routes"}, errNone)
	}
	for i, v := range routes {
		entry := r.entry("routes", i, v)
		route := readRoute(entry)
		s.LongestTimeout = max(s.LongestTimeout, route.Timeout)
		s.Balancer.Routes = append(s.Balancer.Routes, route)
		name := entry.text(jsonvalue.Required, "name")
		if _, duplicate := s.Routes[name]; duplicate {
			entry.fail([]string{"name"}, errDuplicate)
		}
		s.Routes[name] = i
	}
}

func readRoute(r reader) balancer.Route {
	route := balancer.Route{
		Objective:   r.positiveDuration("latency-objective"),
		Timeout:     r.positiveDuration("overall-timeout"),
		Value:       r.nonNegative(jsonvalue.Required, "value"),
		LateValue:   r.number(jsonvalue.Optional, "overdue-value"),
		DedupWindow: FromMilliseconds(r.nonNegative(jsonvalue.Optional, "dedup-window")),
	}
	if route.LateValue < 0 || route.LateValue > 1 {
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

// FromMilliseconds converts milliseconds to the balancer's time, which is in tenths of a millisecond, and rounds to the
// nearest value.
func FromMilliseconds(ms float64) balancer.Time {
	const limit = 1e14 // milliseconds; larger than any real time, and within the range of int64 in tenths
	return balancer.Time(math.Round(min(max(ms, -limit), limit) * 10))
}
