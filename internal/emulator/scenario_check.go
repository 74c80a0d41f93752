package emulator

import (
	"errors"
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
)

// maxNodes is the maximum number of caches in a scenario.
const maxNodes = 4096

// scenarioChecker checks a scenario key by key and stores the first error.
type scenarioChecker struct {
	scenario *Scenario
	err      error
}

// Check returns the first error in the scenario, or nil. The error names the key.
func (d *Scenario) Check() error {
	if d.Name == "" {
		return errors.New("name: missing")
	}
	c := &scenarioChecker{scenario: d}
	c.checkFleetAndLoad()
	c.checkFeatures()
	c.checkCapacities()
	c.checkLoadSteps()
	c.checkRoutes()
	for i, fault := range d.Faults {
		c.checkFault(fmt.Sprintf("trouble[%d].", i), fault)
	}
	return c.err
}

// fail stores an error if it is the first one.
func (c *scenarioChecker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// require stores an error if a condition does not hold.
func (c *scenarioChecker) require(ok bool, format string, args ...any) {
	if !ok {
		c.fail(format, args...)
	}
}

// inRange requires a value to be within bounds, both inclusive. NaN is out of range.
func (c *scenarioChecker) inRange(key string, v, low, high float64) {
	if !(v >= low && v <= high) { // negated so that NaN is rejected
		c.fail("%s: %v: not from %v to %v", key, v, low, high)
	}
}

func (c *scenarioChecker) checkFleetAndLoad() {
	d := c.scenario
	c.inRange("length_s", d.LengthS, 0.5, 3600)
	c.inRange("proxies", float64(d.Proxies), 1, 64)
	c.inRange("fleet.nodes", float64(d.Fleet.Nodes), 1, maxNodes)
	c.inRange("fleet.cross_ms", d.Fleet.CrossZoneMS, 0, 1000)
	c.inRange("fleet.cold_s", d.Fleet.SlowStartS, 0, 600)
	c.inRange("fleet.cold_from", d.Fleet.InitialSpeed, 0.01, 1)
	c.inRange("keys.count", float64(d.Keys.Count), 1, 1e6)
	c.inRange("keys.zipf", d.Keys.Zipf, 1.001, 5)
	c.inRange("keys.warm", d.Keys.CachedFraction, 0, 1)
	c.inRange("keys.size", float64(d.Keys.ValueBytes), 0, 4<<20)
	c.inRange("load.rate", d.Load.Rate, 0.1, 20000)
	c.inRange("load.impatient", d.Load.LeavingFraction, 0, 1)
	c.inRange("load.dripped", d.Load.DrippedFraction, 0, 1)
	c.inRange("load.connections", float64(d.Load.Connections), 0, 20000)
}

// checkFeatures checks the settings of features that the proxies share, most of which need gossip, and the limits of each
// proxy.
func (c *scenarioChecker) checkFeatures() {
	d, mode := c.scenario, c.scenario.ZoneHealth.Decision
	known := mode == "" || mode == zonesJudgedAlone || mode == zonesJudgedByFleet || mode == zonesJudgedByOperators
	c.require(known && (mode == "" || len(d.Fleet.Zones) >= 2), "zones.judged: %q: must be alone, fleet or told, and fleet.zones must name two zones or more", mode)
	c.require(d.Gossip.On || mode != zonesJudgedByFleet && mode != zonesJudgedByOperators,
		"zones.judged: %s: proxies do not gossip (peers.talk)", mode)
	c.require(d.Gossip.On || !d.Duties.On, "turns.on: proxies do not gossip (peers.talk)")
	c.require(d.Gossip.On || !d.NegativeCache.On || d.Proxies <= 1, "missing.on: proxies do not gossip (peers.talk)")
	c.inRange("missing.part", d.NegativeCache.AbsentFraction, 0, 1)
	c.inRange("turns.watchers", float64(d.Duties.Watchers), 0, 64)
	c.inRange("turns.keepers", float64(d.Duties.Owners), 0, 64)
	c.inRange("peers.hold_s", d.Gossip.HoldDownS, 0, 600)
	c.inRange("peers.floor", d.Gossip.QuotaFloor, 0, 1)
	c.inRange("limits.cores", d.Limits.Cores, 0.01, 64)
	c.inRange("limits.memory_mb", float64(d.Limits.MemoryMB), 8, 1<<16)
	c.inRange("limits.sockets", float64(d.Limits.Sockets), 64, 1<<20)
}

func (c *scenarioChecker) checkCapacities() {
	for _, s := range []struct {
		key string
		NodeCapacity
	}{{"fleet", c.scenario.Fleet.NodeCapacity}, {"origin", c.scenario.Origin}} {
		c.inRange(s.key+".cores", float64(s.Cores), 1, 1024)
		c.inRange(s.key+".service_ms", s.ServiceMS, 0.01, 60000)
		c.inRange(s.key+".queue", float64(s.Queue), 0, 1e6)
		c.inRange(s.key+".thrash", s.Thrash, 0, 10)
	}
}

func (c *scenarioChecker) checkLoadSteps() {
	steps := c.scenario.Load.Steps
	for i, s := range steps {
		c.inRange(fmt.Sprintf("load.steps[%d].at_s", i), s.AtS, 0, c.scenario.LengthS)
		c.inRange(fmt.Sprintf("load.steps[%d].times", i), s.Factor, 0, 100)
		c.require(i == 0 || s.AtS > steps[i-1].AtS, "load.steps[%d].at_s: not after the previous step", i)
	}
}

func (c *scenarioChecker) checkRoutes() {
	routes := c.scenario.Routes
	c.require(len(routes) > 0, "route: missing")
	sum, names := 0.0, map[string]bool{}
	for i, route := range routes {
		key := fmt.Sprintf("route[%d].", i)
		c.inRange(key+"share", route.Share, 0, 1)
		c.inRange(key+"overall_ms", route.TimeoutMS, 10, 60000)
		c.inRange(key+"objective_ms", route.ObjectiveMS, 10, route.TimeoutMS)
		c.inRange(key+"value", route.Weight, 0, 1e6)
		c.inRange(key+"dedup_ms", route.DedupMS, 0, 600000)
		c.require(route.DedupMS <= 0 || route.Write, "%sdedup_ms: a read takes none", key)
		c.require(!route.Unsafe || !route.Write, "%sunsafe: a write without dedup_ms is unsafe without it", key)
		c.require(route.Name != "" && !names[route.Name], "%sname: missing or duplicate", key)
		sum, names[route.Name] = sum+route.Share, true
	}
	c.require(math.Abs(sum-1) <= 0.001, "route: shares add up to %v, not 1", sum)
}

// checkFault checks one fault. The prefix precedes its keys in errors.
func (c *scenarioChecker) checkFault(prefix string, fault Fault) {
	d := c.scenario
	needs, ok := faultKinds[fault.Kind]
	c.require(ok, "%skind: %q: unknown", prefix, fault.Kind)
	c.inRange(prefix+"at_s", fault.AtS, 0, d.LengthS)
	c.inRange(prefix+"for_s", fault.DurationS, 0, d.LengthS-fault.AtS)
	c.checkFaultParameters(prefix, fault)
	c.inRange(prefix+"leave_ms", fault.LeaveMS, 0, 60000)
	c.inRange(prefix+"variant", float64(fault.Variant), 0, 100)
	c.inRange(prefix+"slow_ms", fault.MaxDelayMS, 0, 10000)
	c.inRange(prefix+"least_ms", fault.MinDelayMS, 0, fault.MaxDelayMS)
	c.require(needs.surplus == isSurplusKind(fault.Surplus) && (needs.surplus || fault.Surplus == ""),
		"%ssurplus: %q: not a kind of surplus response, or %s takes none", prefix, fault.Surplus, fault.Kind)
	c.checkFaultLinks(prefix, fault)
	c.inRange(prefix+"spread_s", fault.SpreadS, 0, d.LengthS)
	c.require(needs.zone == (fault.Zone != ""), "%szone: missing, or %s takes none", prefix, fault.Kind)
	c.require(!needs.zone || slices.Contains(d.Fleet.Zones, fault.Zone), "%szone: %q: none of fleet.zones", prefix, fault.Zone)
	c.require(d.Gossip.On || !fault.NeedsGossip(), "%skind: %s: proxies do not gossip (peers.talk)", prefix, fault.Kind)
}

// maxTargets returns the maximum of the key nodes for a kind of fault.
func (c *scenarioChecker) maxTargets(kind string) int {
	switch {
	case kind == "slow-clients" || kind == "flood" || kind == "whisper":
		return 500
	case proxyFaults[kind]:
		return c.scenario.Proxies
	default:
		return c.scenario.Fleet.Nodes
	}
}

// checkFaultParameters checks that a fault has the parameters that its kind needs, and no others.
func (c *scenarioChecker) checkFaultParameters(prefix string, fault Fault) {
	needs := faultKinds[fault.Kind]
	for _, figure := range []struct {
		key              string
		v                float64
		needed, optional bool
		low, high        float64
	}{
		{key: "nodes", v: float64(fault.Count), needed: needs.nodes, optional: needs.some, low: 1, high: float64(c.maxTargets(fault.Kind))},
		{key: "times", v: fault.Slowdown, needed: needs.times, low: 1, high: 1000},
		{key: "part", v: fault.Fraction, needed: needs.part, low: minFaultFraction[fault.Kind], high: 1},
		{key: "rate", v: fault.Rate, needed: needs.rate, low: 0.1, high: 1000},
		{key: "step_s", v: fault.StepS, needed: needs.step, low: -7200, high: 7200},
	} {
		if figure.needed || figure.optional && figure.v != 0 {
			c.inRange(prefix+figure.key, figure.v, figure.low, figure.high)
		} else {
			c.require(figure.v == 0, "%s%s: %s takes none", prefix, figure.key, fault.Kind)
		}
	}
}

// checkFaultLinks checks the patterns of process names that select the links of a fault of kind link.
func (c *scenarioChecker) checkFaultLinks(prefix string, fault Fault) {
	named := len(fault.From) > 0 && len(fault.To) > 0
	c.require((fault.Kind == "link") == named, "%sfrom, to: missing, or %s takes none", prefix, fault.Kind)
	for _, pattern := range slices.Concat(fault.From, fault.To) {
		_, err := path.Match(pattern, "n0")
		ofProcess := strings.ContainsAny(pattern[:min(len(pattern), 1)], "ncdo*")
		c.require(err == nil && ofProcess, "%sfrom, to: %q: not a pattern of process names", prefix, pattern)
	}
}
