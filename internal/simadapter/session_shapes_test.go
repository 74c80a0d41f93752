package simadapter_test

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
)

// routeShape describes a route of the settings to the generator.
type routeShape struct {
	name    string
	overall float64 // milliseconds
	stream  bool
	writes  bool // whether some of the route's requests are writes
}

// sessionShape describes one generated session: the settings of its instances and the parameters of the generator.
type sessionShape struct {
	name          string
	seed          uint64
	pace          int64 // microseconds; the clock advances by 2 to 14 times as much per batch under load
	firstInstance int   // lowest instance number; above 0 in most sessions, so that it differs from the index among peers
	instances     int
	settings      string // JSON, in which ME is replaced by the instance's index among its peers
	routes        []routeShape
	tenants       []string
	caches        int
	origins       int
	aside         bool // whether caches return none_here, after which the origin is tried
	pollsLists    bool // whether instances poll for endpoint lists; otherwise lists are pushed
}

// setup returns the settings of one instance on one line.
func (s *sessionShape) setup(t *testing.T, me int) json.RawMessage {
	t.Helper()
	var line bytes.Buffer
	text := strings.ReplaceAll(s.settings, "ME", strconv.Itoa(me))
	if err := json.Compact(&line, []byte(text)); err != nil {
		t.Fatalf("settings of %s: %v", s.name, err)
	}
	return line.Bytes()
}

var sessionShapes = []sessionShape{
	{
		name: "pushed_aside", seed: 11, pace: 1000, firstInstance: 0, instances: 2, caches: 4, origins: 2, aside: true,
		tenants: []string{"acme", "globex"},
		routes: []routeShape{
			{name: "read", overall: 240},
			{name: "cheap", overall: 180},
			{name: "write", overall: 400, writes: true},
		},
		settings: `{
			"beyond-share-value": 0.1, "replicas-of-me": 2, "me": ME, "membership-mode": "push", "tick": 5,
			"family": "cache", "family-info": {"mode": "aside", "origin-kind": 1}, "fees": {"origin": 0.05},
			"limits": {"conn-idle": 60000, "connect-timeout": 100, "max-retry-after": 200,
				"max-upstream-tries": 4, "may-cancel": false, "may-tell": false, "parallel-tries": false,
				"retry-after": true},
			"locality": "east", "zones": ["east", "west"], "shapes": ["std", "origin"], "weights": "silent",
			"rules": {"answer-slack": 20, "ask-every": 10000, "cold": 900, "cold-from": 0.3, "fall": 300,
				"fall-multiple": 3, "stop-sending-within": 2000},
			"tenants": [{"name": "acme", "allowance-per-s": 40, "share": 0.7},
				{"name": "globex", "allowance-per-s": 4, "share": 0.3}],
			"routes": [
				{"name": "read", "latency-objective": 120, "overall-timeout": 240, "value": 5,
					"effect": "pure", "group": "all", "overdue-value": 0},
				{"name": "cheap", "latency-objective": 80, "overall-timeout": 180, "value": 1,
					"effect": "pure", "overdue-value": 0.5},
				{"name": "write", "latency-objective": 200, "overall-timeout": 400, "value": 3,
					"effect": "token", "group": "all", "dedup-window": 5000}]}`,
	},
	{
		name: "asked_peers", seed: 22, pace: 2750, firstInstance: 4, instances: 3, caches: 5, pollsLists: true,
		routes: []routeShape{
			{name: "lookup", overall: 200},
			{name: "stream", overall: 300, stream: true},
			{name: "put", overall: 300, writes: true},
		},
		settings: `{
			"replicas-of-me": 3, "me": ME, "membership-mode": "ask", "tick": 2.5,
			"family-info": {"mode": "through", "origin-kind": -1},
			"limits": {"max-upstream-tries": 5, "may-cancel": true, "may-tell": true,
				"parallel-tries": false, "retry-after": false},
			"zones": ["a", "b", "c"], "shapes": ["small"], "weights": "rough",
			"rules": {"ask-every": 4000, "cold": 600, "cold-from": 0.31, "fall": 200, "fall-multiple": 2.5},
			"tenants": [],
			"routes": [
				{"name": "lookup", "latency-objective": 90, "overall-timeout": 200, "value": 2, "effect": "pure"},
				{"name": "stream", "latency-objective": 150, "overall-timeout": 300, "value": 4,
					"effect": "pure", "stream": true},
				{"name": "put", "latency-objective": 150, "overall-timeout": 300, "value": 1,
					"effect": "side_effect"}]}`,
	},
	{
		name: "effects_tenants", seed: 33, pace: 1000, firstInstance: 7, instances: 2, caches: 6,
		tenants: []string{"gold", "silver", "lead"},
		routes: []routeShape{
			{name: "pure", overall: 250},
			{name: "token-all", overall: 300, writes: true},
			{name: "token-zone", overall: 300, writes: true},
			{name: "token-cell", overall: 300},
			{name: "unsafe", overall: 300, writes: true},
		},
		settings: `{
			"beyond-share-value": 0.2, "replicas-of-me": 2, "tick": 4, "goal": {"punctual": 0.4},
			"limits": {"connect-timeout": 50, "max-retry-after": 150, "max-upstream-tries": 3,
				"may-cancel": true, "parallel-tries": true, "retry-after": true},
			"zones": ["a", "b"], "shapes": ["big", "small"], "weights": "nominal",
			"rules": {"cold": 700, "cold-from": 0.25, "fall": 300, "fall-multiple": 3},
			"tenants": [{"name": "gold", "allowance-per-s": 60, "share": 0.6},
				{"name": "silver", "allowance-per-s": 10, "share": 0.3}, {"name": "lead", "share": 0.1}],
			"routes": [
				{"name": "pure", "latency-objective": 100, "overall-timeout": 250, "value": 5,
					"overdue-value": 0.4, "effect": "pure"},
				{"name": "token-all", "latency-objective": 120, "overall-timeout": 300, "value": 3,
					"effect": "token", "group": "all", "dedup-window": 15},
				{"name": "token-zone", "latency-objective": 120, "overall-timeout": 300, "value": 3,
					"effect": "token", "group": "zone", "dedup-window": 5000},
				{"name": "token-cell", "latency-objective": 120, "overall-timeout": 300, "value": 2,
					"effect": "token", "group": "cell", "dedup-window": 5000},
				{"name": "unsafe", "latency-objective": 120, "overall-timeout": 300, "value": 4,
					"effect": "side_effect"}]}`,
	},
	{
		name: "parallel_aside", seed: 44, pace: 1250, firstInstance: 1, instances: 1, caches: 3, origins: 1, aside: true,
		routes: []routeShape{
			{name: "read", overall: 300},
			{name: "feed", overall: 300, stream: true},
			{name: "write", overall: 300, writes: true},
		},
		settings: `{
			"replicas-of-me": 1, "membership-mode": "push", "tick": 5,
			"family-info": {"mode": "aside", "origin-kind": 1},
			"limits": {"max-upstream-tries": 5, "may-cancel": true, "parallel-tries": true},
			"shapes": ["std", "origin"],
			"rules": {"cold": 900, "cold-from": 0.3, "fall": 300, "fall-multiple": 3},
			"routes": [
				{"name": "read", "latency-objective": 160, "overall-timeout": 300, "value": 2, "effect": "pure"},
				{"name": "feed", "latency-objective": 160, "overall-timeout": 300, "value": 2,
					"effect": "pure", "stream": true},
				{"name": "write", "latency-objective": 160, "overall-timeout": 300, "value": 2,
					"effect": "side_effect"}]}`,
	},
}
