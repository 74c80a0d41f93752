package emulator

import (
	"fmt"
	"os"
	"slices"
	"time"

	"woodproxy/internal/configfile"
)

// Scenario is the content of a scenario file in TOML. Keys that end in _s hold seconds, keys that end in _ms milliseconds.
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
	Admin         bool                  `toml:"admin"` // proxies have an admin server, which is scraped at the end
}

// NegativeCacheSettings configures absent keys, which the origin lacks until they are written, and the proxies' negative
// cache.
type NegativeCacheSettings struct {
	AbsentFraction float64 `toml:"part"` // fraction of the keys that are absent
	On             bool    `toml:"on"`   // proxies have a negative cache
}

// Values of ZoneHealthSettings.Decision: who decides that a zone is unhealthy. With "" nothing decides it.
const (
	zonesJudgedAlone       = "alone" // each proxy by itself
	zonesJudgedByFleet     = "fleet" // by a vote of the proxies
	zonesJudgedByOperators = "told"  // by operators, who are notified of a fault immediately
)

// ZoneHealthSettings configures zone health in the proxies.
type ZoneHealthSettings struct {
	Decision string              `toml:"judged"`
	Regions  map[string][]string `toml:"regions"` // zone names by region
}

// GossipSettings configures the gossip between proxies.
type GossipSettings struct {
	On         bool    `toml:"talk"`
	HoldDownS  float64 `toml:"hold_s"` // hold-down time; 0: the proxies' default
	QuotaFloor float64 `toml:"floor"`  // quota floor; 0: the proxies' default
}

// DutySettings configures the duties, such as health checks and discovery watches, that gossiping proxies distribute among
// themselves.
type DutySettings struct {
	On       bool `toml:"on"`
	Watchers int  `toml:"watchers"` // number of proxies that watch discovery
	Owners   int  `toml:"keepers"`  // number of proxies that keep idle connections to a node
}

// NodeCapacity is the capacity of a node.
type NodeCapacity struct {
	Cores     int     `toml:"cores"`
	ServiceMS float64 `toml:"service_ms"` // mean of the exponentially distributed service time
	Queue     int     `toml:"queue"`      // maximum number of waiting commands, in addition to those in service
	Thrash    float64 `toml:"thrash"`     // fraction of the service time that each waiting command adds
}

// Fleet describes the caches.
type Fleet struct {
	Nodes        int      `toml:"nodes"`
	Zones        []string `toml:"zones"`     // assigned to nodes and proxies in turn
	CrossZoneMS  float64  `toml:"cross_ms"`  // additional delay between zones
	SlowStartS   float64  `toml:"cold_s"`    // duration of a node's slow start
	InitialSpeed float64  `toml:"cold_from"` // speed at the beginning of the slow start, as a fraction of the full speed
	NodeCapacity
}

// Keys describes the key space.
type Keys struct {
	Count          int     `toml:"count"`
	Zipf           float64 `toml:"zipf"` // exponent of the Zipf distribution of key popularity
	CachedFraction float64 `toml:"warm"` // fraction of the keys that each cache holds at the start
	ValueBytes     int     `toml:"size"` // size of a value
}

// Load describes the load that the clients generate.
type Load struct {
	Rate            float64 `toml:"rate"` // requests per second of all clients
	Steps           []Step  `toml:"steps"`
	LeavingFraction float64 `toml:"impatient"` // fraction of the requests whose client leaves after a quarter of the timeout
	// DrippedFraction is the fraction of the requests that are written byte by byte.
	DrippedFraction float64 `toml:"dripped"`
	// Connections is the number of connections to each proxy that clients hold throughout and use in turn. With 0, connections
	// are opened when they are needed.
	Connections int `toml:"connections"`
}

// Step multiplies the base rate by Factor from a time on, until the next step.
type Step struct {
	AtS    float64 `toml:"at_s"`
	Factor float64 `toml:"times"`
}

// Route describes a class of requests.
type Route struct {
	Name        string  `toml:"name"`
	Share       float64 `toml:"share"` // fraction of the requests; the shares of all routes add up to 1
	ObjectiveMS float64 `toml:"objective_ms"`
	TimeoutMS   float64 `toml:"overall_ms"` // overall timeout
	Weight      float64 `toml:"value"`      // priority weight
	Write       bool    `toml:"write"`
	Unsafe      bool    `toml:"unsafe"`   // a read that must not be executed twice
	DedupMS     float64 `toml:"dedup_ms"` // time for which the origin drops repeats of an idempotency key; 0: it drops none
}

// Limits are the resource limits of each proxy.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Hedging  bool    `toml:"parallel"` // hedged attempts are allowed
}

// Fault describes one fault of a scenario. Its kind determines the parameters that it takes.
type Fault struct {
	Kind      string  `toml:"kind"`
	AtS       float64 `toml:"at_s"`
	DurationS float64 `toml:"for_s"`
	Count     int     `toml:"nodes"`    // number of affected nodes or proxies, or of clients
	Slowdown  float64 `toml:"times"`    // factor on the service time
	Fraction  float64 `toml:"part"`     // fraction of the commands, system calls or packets that are affected
	Rate      float64 `toml:"rate"`     // events per second
	LeaveMS   float64 `toml:"leave_ms"` // time for which a node is announced as leaving before it stops
	StepS     float64 `toml:"step_s"`   // step of the wall clock, positive or negative
	Variant   int     `toml:"variant"`  // selects the error that a failing system call returns

	// Parameters of faults that affect many processes.

	Zone         string  `toml:"zone"`
	SpreadS      float64 `toml:"spread_s"` // time over which the restarts of killed proxies are spread
	ResetStreams bool    `toml:"reset"`    // streams over a severed link are reset when it heals; otherwise they continue
	Refuses      bool    `toml:"dead"`     // a lost zone refuses connections as dead processes do; otherwise it is silent
	LosesData    bool    `toml:"cold"`     // nodes of a lost zone return without their data

	// Parameters of link faults. From and To are path.Match patterns of process names.

	From       []string `toml:"from"`
	To         []string `toml:"to"`
	OneWay     bool     `toml:"one_way"`
	MaxDelayMS float64  `toml:"slow_ms"` // of packets over a link, of surplus responses, of late values, or of discovery's answers

	// Parameters of surplus responses.

	Surplus    string  `toml:"surplus"`  // kind of response
	MinDelayMS float64 `toml:"least_ms"` // least delay
}

// delaysLinks reports whether a fault may delay traffic between processes.
func (d *Scenario) delaysLinks() bool {
	return slices.ContainsFunc(d.Faults, func(fault Fault) bool { return linkFaultKinds[fault.Kind] })
}

// drainGrace returns the time after a proxy was notified of a drain during which the draining node may still receive
// requests from it.
func (d *Scenario) drainGrace() time.Duration {
	if d.breaksConns() {
		return drainGraceBroken
	}
	return drainGrace
}

// breaksConns reports whether a fault breaks the proxies' own connections.
func (d *Scenario) breaksConns() bool {
	return slices.ContainsFunc(d.Faults, func(fault Fault) bool { return fault.Kind == "break-conns" })
}

// linkFaultKinds are the kinds of faults that affect links.
var linkFaultKinds = map[string]bool{
	"part": true, "one-way": true, "lossy": true, "zone-cut": true, "zone-lost": true, "zone-grey": true, "link": true,
}

// NeedsGossip reports whether the fault has an effect only if the proxies gossip.
func (f Fault) NeedsGossip() bool {
	return f.Kind == "part" || f.Kind == "one-way" || f.Kind == "lossy" || f.Kind == "whisper"
}

// faultParameters is the set of parameters that a kind of fault takes.
type faultParameters struct {
	nodes, times, part, rate, zone, step, surplus bool

	some bool // nodes is optional; without it all candidates are targets
}

// faultKinds maps each kind of fault to the parameters it takes.
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
	"late-answers":  {some: true},
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
	"origin-busy":   {part: true},
	"surplus":       {some: true, part: true, surplus: true},
	"late-values":   {nodes: true, part: true},
	"flood":         {nodes: true},
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

// minFaultFraction is the minimum of Fault.Fraction for kinds of faults that have no effect at 0. The kind link is not among
// them, since it may delay traffic without loss.
var minFaultFraction = map[string]float64{"failing": 0.001, "reset": 0.001, "garbled": 0.001, "halves": 0.001, "lossy": 0.001, "origin-busy": 0.001, "surplus": 0.001, "late-values": 0.001}

// proxyFaults are the kinds of faults whose targets are proxies or their discovery agents instead of nodes.
var proxyFaults = map[string]bool{
	"kill": true, "restart": true, "crowd": true, "part": true, "one-way": true, "pause": true, "mass-kill": true,
	"deaf": true, "stale": true, "refusing": true, "hush": true, "late-answers": true, "agent-ahead": true, "garbled-list": true, "cut-watch": true,
	"reload": true, "hot-restart": true, "fail-socket": true, "fail-connect": true, "fail-accept": true, "break-conns": true,
	"interrupt": true, "short-read": true, "short-write": true, "fail-disk": true, "fail-sync": true, "clock-step": true,
}

// ReadScenario reads and checks a scenario file. An error is a single line that names the file, and the line or the key.
func ReadScenario(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	d, err := ParseScenario(text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", file, err)
	}
	return d, nil
}

// ParseScenario decodes a scenario in TOML and checks it.
func ParseScenario(text []byte) (*Scenario, error) {
	d := &Scenario{Limits: Limits{Cores: 1, MemoryMB: 128, Sockets: 1024}}
	if err := configfile.DecodeTOML(text, d); err != nil {
		return nil, err
	}
	return d, d.Check()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
