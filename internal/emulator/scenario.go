package emulator

import (
	"fmt"
	"os"
	"slices"
	"time"

	"woodproxy/internal/configfile"
)

// Scenario is a scenario as its TOML file describes it. Times whose key ends in _s are seconds, in _ms milliseconds.
type Scenario struct {
	Name          string                `toml:"name"`
	LengthS       float64               `toml:"length_s"`
	Proxies       int                   `toml:"proxies"`
	Fleet         Fleet                 `toml:"fleet"`
	Origin        NodeCapacity          `toml:"origin"`
	Keys          Keys                  `toml:"keys"`
	Load          Load                  `toml:"load"`
	Routes        []Route               `toml:"route"`
	Faults        []Fault               `toml:"trouble"`
	Limits        Limits                `toml:"limits"`
	Gossip        GossipSettings        `toml:"peers"`
	ZoneHealth    ZoneHealthSettings    `toml:"zones"`
	Duties        DutySettings          `toml:"turns"`
	NegativeCache NegativeCacheSettings `toml:"missing"`
	State         bool                  `toml:"state"` // proxies keep a state file across restarts
	Admin         bool                  `toml:"admin"` // proxies serve operators' calls, by which what they hold is seen at the end
}

// NegativeCacheSettings configures keys that the origin lacks until they are written, and the proxies' negative cache.
type NegativeCacheSettings struct {
	AbsentPart float64 `toml:"part"` // of all keys, 0 to 1
	On         bool    `toml:"on"`   // proxies have a negative cache
}

// How the proxies decide that a whole zone is unhealthy, besides "" where they do not.
const (
	zonesJudgedAlone       = "alone" // each proxy by itself
	zonesJudgedByFleet     = "fleet" // by a vote of the proxies
	zonesJudgedByOperators = "told"  // by operators, who learn of a fault at once
)

// ZoneHealthSettings configures the proxies' zone health.
type ZoneHealthSettings struct {
	Decision string              `toml:"judged"`
	Regions  map[string][]string `toml:"regions"` // names of zones by region
}

// GossipSettings configures the gossip between proxies.
type GossipSettings struct {
	On         bool    `toml:"talk"`
	HoldDownS  float64 `toml:"hold_s"` // hold-down time, 0: the proxies' default
	QuotaFloor float64 `toml:"floor"`  // quota floor, 0: the proxies' default
}

// DutySettings configures the duties, such as health checks and discovery watches, that gossiping proxies share out among themselves.
type DutySettings struct {
	On       bool `toml:"on"`
	Watchers int  `toml:"watchers"` // proxies that watch discovery
	Owners   int  `toml:"keepers"`  // proxies that keep idle connections to a node
}

// NodeCapacity is the capacity of a node.
type NodeCapacity struct {
	Cores     int     `toml:"cores"`
	ServiceMS float64 `toml:"service_ms"` // mean of the exponentially distributed service time
	Queue     int     `toml:"queue"`      // commands that may wait beyond those in service
	Thrash    float64 `toml:"thrash"`     // part by which each waiting command slows the others
}

// Fleet is the caches.
type Fleet struct {
	Nodes        int      `toml:"nodes"`
	Zones        []string `toml:"zones"`     // dealt out to nodes and proxies in turn
	CrossZoneMS  float64  `toml:"cross_ms"`  // additional delay between zones
	SlowStartS   float64  `toml:"cold_s"`    // duration of a node's slow start
	InitialSpeed float64  `toml:"cold_from"` // part of its speed that a node starts with
	NodeCapacity
}

// Keys is the key space.
type Keys struct {
	Count      int     `toml:"count"`
	Zipf       float64 `toml:"zipf"` // exponent of the popularity's distribution
	CachedPart float64 `toml:"warm"` // part of the keys that each cache has at the start
	ValueBytes int     `toml:"size"` // of values, in bytes
}

// Load is the clients' load.
type Load struct {
	Rate        float64 `toml:"rate"` // requests a second, of all clients
	Steps       []Step  `toml:"steps"`
	LeavingPart float64 `toml:"impatient"` // part of the requests whose client leaves before the answer may come
	// DrippedPart is the part of the requests that are written byte by byte.
	DrippedPart float64 `toml:"dripped"`
	// Connections is how many clients of each proxy hold a connection throughout and use them in turn; 0: connections are made
	// as they are needed.
	Connections int `toml:"connections"`
}

// Step multiplies the rate from a time on.
type Step struct {
	AtS    float64 `toml:"at_s"`
	Factor float64 `toml:"times"`
}

// Route is a class of requests.
type Route struct {
	Name        string  `toml:"name"`
	Share       float64 `toml:"share"` // of the requests; the shares of all routes add up to 1
	ObjectiveMS float64 `toml:"objective_ms"`
	TimeoutMS   float64 `toml:"overall_ms"` // overall timeout
	Weight      float64 `toml:"value"`      // priority weight
	Write       bool    `toml:"write"`
	DedupMS     float64 `toml:"dedup_ms"` // for how long the origin drops repeats of an idempotency key, 0: it does not
}

// Limits bind each proxy.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Hedging  bool    `toml:"parallel"` // hedged attempts are allowed
}

// Fault is a fault that lasts for a time. Which figures a fault takes depends on its kind.
type Fault struct {
	Kind      string  `toml:"kind"`
	AtS       float64 `toml:"at_s"`
	DurationS float64 `toml:"for_s"`
	Count     int     `toml:"nodes"` // number of nodes, proxies or clients
	Slowdown  float64 `toml:"times"` // factor by which nodes are slower
	Part      float64 `toml:"part"`  // of commands or packets that are affected, 0 to 1
	Rate      float64 `toml:"rate"`  // events a second
	LeaveMS   float64 `toml:"leave_ms"`
	StepS     float64 `toml:"step_s"`  // of the wall clock, either way
	Variant   int     `toml:"variant"` // which of its errors a failing system call returns

	// Of faults that affect many processes.

	Zone         string  `toml:"zone"`
	SpreadS      float64 `toml:"spread_s"` // over which killed proxies start again
	ResetStreams bool    `toml:"reset"`    // streams over a severed link are reset when it heals, else they go on
	Refuses      bool    `toml:"dead"`     // a lost zone refuses connections as dead processes do, else it is silent as lost machines are
	LosesData    bool    `toml:"cold"`     // nodes of a lost zone come back empty

	// Of link faults: patterns of process names, as path.Match reads them.

	From       []string `toml:"from"`
	To         []string `toml:"to"`
	OneWay     bool     `toml:"one_way"`
	MaxDelayMS float64  `toml:"slow_ms"`
}

// delaysLinks reports whether a fault holds back what is on its way between processes.
func (d *Scenario) delaysLinks() bool {
	return slices.ContainsFunc(d.Faults, func(fault Fault) bool { return linkFaultKinds[fault.Kind] })
}

// drainGrace is from when on a draining node receives nothing, after its proxy was notified.
func (d *Scenario) drainGrace() time.Duration {
	breaks := slices.ContainsFunc(d.Faults, func(fault Fault) bool { return fault.Kind == "break-conns" })
	if breaks {
		return drainGraceBroken
	}
	return drainGrace
}

// linkFaultKinds are the kinds of faults that lie on links.
var linkFaultKinds = map[string]bool{
	"part": true, "one-way": true, "lossy": true, "zone-cut": true, "zone-lost": true, "zone-grey": true, "link": true,
}

// NeedsGossip reports whether a fault has an effect only where proxies gossip.
func (f Fault) NeedsGossip() bool {
	return f.Kind == "part" || f.Kind == "one-way" || f.Kind == "lossy" || f.Kind == "whisper"
}

// faultParameters is which figures a kind of fault takes.
type faultParameters struct {
	nodes, times, part, rate, zone, step bool

	some bool // nodes is optional, and without it all are targets
}

// faultKinds holds every kind of fault.
var faultKinds = map[string]faultParameters{
	"silent":        {nodes: true},
	"slow":          {nodes: true, times: true},
	"failing":       {nodes: true, part: true},
	"cold":          {nodes: true},
	"replace":       {nodes: true},
	"reset":         {nodes: true, part: true},
	"garbled":       {nodes: true, part: true},
	"halves":        {nodes: true, part: true},
	"stale":         {some: true},
	"deaf":          {some: true},
	"hush":          {some: true},
	"agent-ahead":   {nodes: true},
	"refusing":      {some: true},
	"origin-slow":   {times: true},
	"kill":          {nodes: true},
	"restart":       {nodes: true},
	"bad-clients":   {rate: true},
	"slow-clients":  {nodes: true},
	"part":          {nodes: true},
	"one-way":       {nodes: true},
	"lossy":         {part: true},
	"pause":         {nodes: true},
	"mass-kill":     {nodes: true},
	"zone-cut":      {zone: true},
	"zone-lost":     {zone: true},
	"zone-grey":     {zone: true, times: true, part: true},
	"whisper":       {nodes: true},
	"link":          {part: true},
	"bursts":        {rate: true},
	"crowd":         {nodes: true},
	"closes":        {nodes: true, part: true},
	"conn-resets":   {nodes: true},
	"origin-resets": {},
	"garbled-list":  {some: true},
	"cut-watch":     {some: true},
	"reload":        {nodes: true},
	"hot-restart":   {nodes: true},
	"fail-socket":   {nodes: true, part: true},
	"fail-connect":  {nodes: true, part: true},
	"fail-accept":   {nodes: true, part: true},
	"break-conns":   {nodes: true, part: true},
	"interrupt":     {nodes: true, part: true},
	"short-read":    {nodes: true, part: true},
	"short-write":   {nodes: true, part: true},
	"fail-disk":     {nodes: true, part: true},
	"fail-sync":     {nodes: true, part: true},
	"clock-step":    {nodes: true, step: true},
}

// minFaultPart is the least part of fault kinds for which 0 would mean no fault; a link may be delayed without loss.
var minFaultPart = map[string]float64{"failing": 0.001, "reset": 0.001, "garbled": 0.001, "halves": 0.001, "lossy": 0.001}

// proxyFaults are the kinds whose targets are proxies, or their discovery agents, in place of nodes.
var proxyFaults = map[string]bool{
	"kill": true, "restart": true, "crowd": true, "part": true, "one-way": true, "pause": true, "mass-kill": true,
	"deaf": true, "stale": true, "refusing": true, "hush": true, "agent-ahead": true, "garbled-list": true, "cut-watch": true,
	"reload": true, "hot-restart": true, "fail-socket": true, "fail-connect": true, "fail-accept": true, "break-conns": true,
	"interrupt": true, "short-read": true, "short-write": true, "fail-disk": true, "fail-sync": true, "clock-step": true,
}

// ReadScenario reads and checks a scenario file. An error is one line that names the file, and the line or key.
func ReadScenario(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	d, err := ParseScenario(text)
	if err != nil {
		return nil, fmt.Errorf("day: %s: %w", file, err)
	}
	return d, nil
}

// ParseScenario decodes and checks a scenario.
func ParseScenario(text []byte) (*Scenario, error) {
	d := &Scenario{Limits: Limits{Cores: 1, MemoryMB: 128, Sockets: 1024}}
	if err := configfile.DecodeTOML(text, d); err != nil {
		return nil, err
	}
	return d, d.Check()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
