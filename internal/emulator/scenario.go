// Package emulator plays days of a deployment on loopback: stand-ins for caches, the origin, discovery and clients, among
// which real proxies serve, and the rules checked from what the stand-ins saw. It shares no code with the proxy.
package emulator

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"woodproxy/internal/configfile"
)

// Day is what a day's file says.
type Day struct {
	Name    string    `toml:"name"`
	Length  float64   `toml:"length_s"`
	Proxies int       `toml:"proxies"`
	Fleet   Fleet     `toml:"fleet"`
	Origin  Server    `toml:"origin"`
	Keys    Keys      `toml:"keys"`
	Load    Load      `toml:"load"`
	Routes  []Route   `toml:"route"`
	Trouble []Trouble `toml:"trouble"`
	Limits  Limits    `toml:"limits"`
	Peers   Peers     `toml:"peers"`
	Zones   Zones     `toml:"zones"`
	Turns   Turns     `toml:"turns"`
	Missing Missing   `toml:"missing"`
	State   bool      `toml:"state"` // proxies keep what they know on a disk
}

// Missing is keys that the origin lacks until they are written, and whether proxies remember them.
type Missing struct {
	Part float64 `toml:"part"`
	On   bool    `toml:"on"`
}

// Zones is how the proxies judge whole zones.
type Zones struct {
	Judged  string              `toml:"judged"` // "": not; "alone": by each proxy; "fleet"; "told": by operators, who know at once
	Regions map[string][]string `toml:"regions"`
}

// Peers is how the proxies talk with one another.
type Peers struct {
	Talk  bool    `toml:"talk"`
	Hold  float64 `toml:"hold_s"`
	Floor float64 `toml:"floor"`
}

// Server is what a machine can do.
type Server struct {
	Cores   int     `toml:"cores"`
	Service float64 `toml:"service_ms"`
	Queue   int     `toml:"queue"`
	Thrash  float64 `toml:"thrash"`
}

// Fleet is the caches.
type Fleet struct {
	Nodes    int      `toml:"nodes"`
	Zones    []string `toml:"zones"`
	Cross    float64  `toml:"cross_ms"`
	Cold     float64  `toml:"cold_s"`
	ColdFrom float64  `toml:"cold_from"`
	Server
}

// Keys is what is asked for.
type Keys struct {
	Count int     `toml:"count"`
	Zipf  float64 `toml:"zipf"`
	Warm  float64 `toml:"warm"`
	Size  int     `toml:"size"` // of values, in bytes
}

// Load is how often.
type Load struct {
	Rate              float64 `toml:"rate"`
	Steps             []Step  `toml:"steps"`
	ImpatientFraction float64 `toml:"impatient"`
	// clients of each proxy that hold a connection all day and ask in turn, 0: connections are made as they are needed
	Connections int `toml:"connections"`
}

// Step changes the rate from a time on.
type Step struct {
	At    float64 `toml:"at_s"`
	Times float64 `toml:"times"`
}

// Route is a class of requests.
type Route struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	Objective float64 `toml:"objective_ms"`
	Overall   float64 `toml:"overall_ms"`
	Value     float64 `toml:"value"`
	Write     bool    `toml:"write"`
	Dedup     float64 `toml:"dedup_ms"` // for how long the origin drops a write's repeats, 0: it does not
}

// Limits bind each proxy.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Parallel bool    `toml:"parallel"` // two tries of a request may be out at once
}

// Trouble is something that goes wrong for a time.
type Trouble struct {
	Kind  string  `toml:"kind"`
	At    float64 `toml:"at_s"`
	For   float64 `toml:"for_s"`
	Nodes int     `toml:"nodes"`
	Times float64 `toml:"times"`
	Part  float64 `toml:"part"`
	Rate  float64 `toml:"rate"`
	Leave float64 `toml:"leave_ms"`
	// of troubles that hit many processes
	Zone   string  `toml:"zone"`
	Spread float64 `toml:"spread_s"` // over which those that were killed start again
	Reset  bool    `toml:"reset"`    // streams under a cut are reset when it heals, else they go on
	Dead   bool    `toml:"dead"`     // a lost zone refuses, as processes that died, else it is silent, as machines that vanished
	Cold   bool    `toml:"cold"`     // its nodes come back empty
	// of links by name: n0 and on are proxies, c0 and on nodes, d0 and on the proxies' discoveries; * stands for any text
	From   []string `toml:"from"`
	To     []string `toml:"to"`
	OneWay bool     `toml:"one_way"`
	Slow   float64  `toml:"slow_ms"`
}

// NeedsTalk tells whether a trouble stands between proxies alone, or tells something to one.
func (t Trouble) NeedsTalk() bool {
	return t.Kind == "part" || t.Kind == "one-way" || t.Kind == "lossy" || t.Kind == "whisper"
}

// of each kind: which figures it needs.
var faultKinds = map[string]struct{ nodes, times, part, rate, zone, some bool }{
	"silent": {nodes: true}, "slow": {nodes: true, times: true}, "failing": {nodes: true, part: true},
	"cold": {nodes: true}, "replace": {nodes: true}, "reset": {nodes: true, part: true}, "garbled": {nodes: true, part: true}, "halves": {nodes: true, part: true},
	"stale": {some: true}, "deaf": {some: true}, "hush": {some: true}, "agent-ahead": {nodes: true}, "refusing": {some: true}, "origin-slow": {times: true}, "kill": {nodes: true}, "restart": {nodes: true},
	"bad-clients": {rate: true}, "slow-clients": {nodes: true},
	"part": {nodes: true}, "one-way": {nodes: true}, "lossy": {part: true}, "pause": {nodes: true}, "mass-kill": {nodes: true},
	"zone-cut": {zone: true}, "zone-lost": {zone: true}, "zone-grey": {zone: true, times: true, part: true}, "whisper": {nodes: true}, "link": {part: true},
}

// least part of a trouble that has one; a link may be slow alone.
var minFaultPart = map[string]float64{"failing": 0.001, "reset": 0.001, "garbled": 0.001, "halves": 0.001, "lossy": 0.001}

// ofProxies are the troubles that befall proxies or come of clients.
var proxyFaults = map[string]bool{
	"kill": true, "restart": true, "part": true, "one-way": true, "pause": true, "mass-kill": true,
	"deaf": true, "stale": true, "refusing": true, "hush": true, "agent-ahead": true,
}

// ReadDay reads and checks a day's file. An error is one line that names the file, and the line or key.
func ReadDay(file string) (*Day, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	d, err := ParseDay(text)
	if err != nil {
		return nil, fmt.Errorf("day: %s: %w", file, err)
	}
	return d, nil
}

// ParseDay reads and checks a day.
func ParseDay(text []byte) (*Day, error) {
	d := &Day{Limits: Limits{Cores: 1, MemoryMB: 128, Sockets: 1024}}
	if err := configfile.TOML(text, d); err != nil {
		return nil, err
	}
	return d, d.Check()
}

// Check finds the first fault of a day.
func (d *Day) Check() error {
	var err error
	within := func(key string, v, least, most float64) {
		if err == nil && !(v >= least && v <= most) { // which holds for no number as well
			err = fmt.Errorf("%s: %v: not from %v to %v", key, v, least, most)
		}
	}
	if d.Name == "" {
		return errors.New("name: missing")
	}
	within("length_s", d.Length, 0.5, 3600)
	within("proxies", float64(d.Proxies), 1, 64)
	within("fleet.nodes", float64(d.Fleet.Nodes), 1, 200)
	within("fleet.cross_ms", d.Fleet.Cross, 0, 1000)
	within("fleet.cold_s", d.Fleet.Cold, 0, 600)
	within("fleet.cold_from", d.Fleet.ColdFrom, 0.01, 1)
	within("keys.count", float64(d.Keys.Count), 1, 1e6)
	within("keys.zipf", d.Keys.Zipf, 1.001, 5)
	within("keys.warm", d.Keys.Warm, 0, 1)
	within("keys.size", float64(d.Keys.Size), 0, 4<<20)
	within("load.rate", d.Load.Rate, 0.1, 20000)
	within("load.impatient", d.Load.ImpatientFraction, 0, 1)
	within("load.connections", float64(d.Load.Connections), 0, 20000)
	if j := d.Zones.Judged; err == nil && j != "" && (j != "alone" && j != "fleet" && j != "told" || len(d.Fleet.Zones) < 2) {
		err = fmt.Errorf("zones.judged: %q: not alone, fleet or told, or there are no zones", j)
	}
	if err == nil && (d.Zones.Judged == "fleet" || d.Zones.Judged == "told") && !d.Peers.Talk {
		err = fmt.Errorf("zones.judged: %s: proxies do not talk (peers.talk)", d.Zones.Judged)
	}
	if err == nil && d.Turns.On && !d.Peers.Talk {
		err = errors.New("turns.on: proxies do not talk (peers.talk)")
	}
	if err == nil && d.Missing.On && !d.Peers.Talk && d.Proxies > 1 {
		err = errors.New("missing.on: proxies do not talk (peers.talk)")
	}
	within("missing.part", d.Missing.Part, 0, 1)
	within("turns.watchers", float64(d.Turns.Watchers), 0, 64)
	within("turns.keepers", float64(d.Turns.Keepers), 0, 64)
	within("peers.hold_s", d.Peers.Hold, 0, 600)
	within("peers.floor", d.Peers.Floor, 0, 1)
	within("limits.cores", d.Limits.Cores, 0.01, 64)
	within("limits.memory_mb", float64(d.Limits.MemoryMB), 8, 1<<16)
	within("limits.sockets", float64(d.Limits.Sockets), 64, 1<<20)
	for _, s := range []struct {
		key string
		Server
	}{{"fleet", d.Fleet.Server}, {"origin", d.Origin}} {
		within(s.key+".cores", float64(s.Cores), 1, 1024)
		within(s.key+".service_ms", s.Service, 0.01, 60000)
		within(s.key+".queue", float64(s.Queue), 0, 1e6)
		within(s.key+".thrash", s.Thrash, 0, 10)
	}
	for i, s := range d.Load.Steps {
		within(fmt.Sprintf("load.steps[%d].at_s", i), s.At, 0, d.Length)
		within(fmt.Sprintf("load.steps[%d].times", i), s.Times, 0, 100)
		if err == nil && i > 0 && s.At <= d.Load.Steps[i-1].At {
			err = fmt.Errorf("load.steps[%d].at_s: not after the one before", i)
		}
	}
	if err == nil && len(d.Routes) == 0 {
		err = errors.New("route: missing")
	}
	sum, names := 0.0, map[string]bool{}
	for i, r := range d.Routes {
		key := fmt.Sprintf("route[%d].", i)
		within(key+"share", r.Share, 0, 1)
		within(key+"overall_ms", r.Overall, 10, 60000)
		within(key+"objective_ms", r.Objective, 10, r.Overall)
		within(key+"value", r.Value, 0, 1e6)
		within(key+"dedup_ms", r.Dedup, 0, 600000)
		if err == nil && r.Dedup > 0 && !r.Write {
			err = fmt.Errorf("%sdedup_ms: a read needs none", key)
		}
		if err == nil && (r.Name == "" || names[r.Name]) {
			err = fmt.Errorf("%sname: missing or doubled", key)
		}
		sum, names[r.Name] = sum+r.Share, true
	}
	if err == nil && math.Abs(sum-1) > 0.001 {
		err = fmt.Errorf("route: shares are %v together, not 1", sum)
	}
	for i, t := range d.Trouble {
		key := fmt.Sprintf("trouble[%d].", i)
		k, ok := faultKinds[t.Kind]
		if err == nil && !ok {
			err = fmt.Errorf("%skind: %q: unknown", key, t.Kind)
		}
		within(key+"at_s", t.At, 0, d.Length)
		within(key+"for_s", t.For, 0, d.Length-t.At)
		most := d.Fleet.Nodes
		if proxyFaults[t.Kind] {
			most = d.Proxies
		}
		if t.Kind == "slow-clients" || t.Kind == "whisper" {
			most = 500
		}
		for _, f := range []struct {
			key         string
			v           float64
			needed      bool
			least, most float64
		}{
			{"nodes", float64(t.Nodes), k.nodes, 1, float64(most)},
			{"times", t.Times, k.times, 1, 1000},
			{"part", t.Part, k.part, minFaultPart[t.Kind], 1},
			{"rate", t.Rate, k.rate, 0.1, 1000},
		} {
			if f.needed || f.key == "nodes" && k.some && f.v != 0 {
				within(key+f.key, f.v, f.least, f.most)
			} else if err == nil && f.v != 0 {
				err = fmt.Errorf("%s%s: %s takes none", key, f.key, t.Kind)
			}
		}
		within(key+"leave_ms", t.Leave, 0, 60000)
		within(key+"slow_ms", t.Slow, 0, 10000)
		if err == nil && (t.Kind == "link") != (len(t.From) > 0 && len(t.To) > 0) {
			err = fmt.Errorf("%sfrom, to: missing, or %s takes none", key, t.Kind)
		}
		for _, name := range append(slices.Clone(t.From), t.To...) {
			if _, bad := path.Match(name, "n0"); err == nil && (bad != nil || !strings.ContainsAny(name[:min(len(name), 1)], "ncdo*")) {
				err = fmt.Errorf("%sfrom, to: %q: no name of a process", key, name)
			}
		}
		within(key+"spread_s", t.Spread, 0, d.Length)
		if err == nil && k.zone != (t.Zone != "") {
			err = fmt.Errorf("%szone: missing, or %s takes none", key, t.Kind)
		}
		if err == nil && k.zone && !slices.Contains(d.Fleet.Zones, t.Zone) {
			err = fmt.Errorf("%szone: %q: none of fleet.zones", key, t.Zone)
		}
		if err == nil && !d.Peers.Talk && t.NeedsTalk() {
			err = fmt.Errorf("%skind: %s: proxies do not talk (peers.talk)", key, t.Kind)
		}
	}
	return err
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
