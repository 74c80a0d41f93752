package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Site is what a proxy is told.
type ProxyConfig struct {
	Name, Listen, Discovery string
	ConfigFile              string // the file that says all of this
	AdminAddress            string // where operators call, "": nowhere
	GossipFile              string // the file by which it talks with others, "": it does not
	StateDir                string // the directory where it keeps what it knows, "": nowhere
	NegativeCacheFile       string // the file by which it remembers missing keys, "": it does not
	RebalanceFile           string // the file by which it plans moves, "": it does not
	DutiesFile              string // the file by which it takes turns with others, "": it does not
	ZoneHealthFile          string // the file by which it judges zones, "": it does not
	Dir                     string // for its log and what it keeps
}

// Proxy is a proxy that runs.
type Proxy interface {
	Signal(s os.Signal)
	Kill()
	Done() <-chan error // closed or sent to once it has ended
}

// Start starts a proxy; a process or, in tests, one in the same process.
type Start func(s ProxyConfig) (Proxy, error)

// Options tell how a day is played.
type Options struct {
	Start     Start
	Dir       string // for files and logs, kept
	IP        string // loopback address of the proxies, 127.0.0.1 where it is empty
	Overrides map[string]any
}

// Report is what came of a day.
type Report struct {
	Plan     *Plan
	Results  []Result
	Breaches []Violation
	Seen     []Seen
	LateMS   float64 // the most by which the load itself ran late
	Ran      bool    // the load ran in time: latenesses over 5 ms are fewer than one in two hundred
	CPU      float64 // of all proxies, microseconds a request; 0 where they are no processes
	// of each node that one proxy alone was told of, how long until each other proxy had it on its list
	Whispers               []time.Duration
	Unheard                int             // proxies that never had such a node
	PeerBytes, PeerPackets float64         // a second and proxy, that talk took in and gave out; that came in
	CatchUps               []time.Duration // from the start or the going on of a process that had peers until it said that it caught up
	Zones                  []ZoneFaultResult
	Convicted              int     // verdicts of out on zones that nothing had hit
	Hasty                  int     // zones that one proxy passed by alone, and that nothing had hit
	ColdPeak               float64 // the most that any node took while it was cold, against what it bears
	Together               Together
	AbsentAsked            float64 // look-ups of keys that the origin lacked, a second, there,
	AbsentSaid             float64 // and answers that it has none, a second, to clients
	Returns                []RecoveryResult
	Stale                  time.Duration // the longest for which a key was called missing after it was written
	BadMute                int           // bad clients that were owed an error or a close and had neither
}

type runner struct {
	plan                 *Plan
	options              Options
	log                  *EventLog
	world                *cluster
	origin               *Node
	nodes                []*Node
	discoveries          []*Discovery
	discoveryAddresses   []string
	load                 *loadGenerator
	proxies              []*managedProxy
	unansweredBadClients atomic.Int64
	proxyCPU             atomic.Int64 // of processes that have ended
	processWatchers      sync.WaitGroup
	network              *network
	announcements        []announcement
	zoneFaults           []zoneFault
	backgroundLoad       backgroundSamples
	addressPrefix        string            // beginning of the proxies' addresses among each other
	proxyByIP            map[string]string // of proxies, by these
	relays               []*relay          // where proxies meet each other, none where they do not talk

	mu       sync.Mutex
	nextNode int // number of the next node
}

type managedProxy struct {
	mu      sync.Mutex
	site    ProxyConfig
	current *incarnation
	running bool // a process of it is there, or is being started
}

// life is one process of a proxy's. What its end is to be noted as is its own, or one that was told to end could pass for
// crashed once the next has begun.
type incarnation struct {
	Proxy
	endNote string        // "": it crashed; under the member's mu
	ended   chan struct{} // closed once its end is noted, and another may be started
}

// Play plays a drawn day. Whatever happens, no process is left when it returns.
func Play(ctx context.Context, plan *Plan, o Options) (*Report, error) {
	if o.IP == "" {
		o.IP = "127.0.0.1"
	}
	log := NewEventLog()
	p := &runner{plan: plan, options: o, log: log, world: newCluster(plan.Day, log), network: newNetwork(plan.Seed)}
	p.world.network = p.network
	defer func() {
		p.stop()
		if ctx.Err() != nil {
			os.RemoveAll(o.Dir) // what was broken off leaves nothing
		}
	}()
	if err := plan.Day.checkDescriptors(); err != nil {
		return nil, err
	}
	if err := p.startBackends(); err != nil {
		return nil, err
	}
	if err := p.startProxies(ctx); err != nil {
		return nil, err
	}
	if err := p.load.openHeldConns(); err != nil {
		return nil, err
	}
	start := time.Now()
	whole, cancel := context.WithCancel(ctx)
	defer cancel()
	var troubles sync.WaitGroup
	for _, b := range plan.Blows {
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			p.injectFault(whole, b, start)
		}()
	}
	troubles.Add(1)
	go func() {
		defer troubles.Done()
		p.sampleBackgroundLoad(whole)
	}()
	if plan.Day.Peers.Talk {
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			p.pollGossipStatus(whole)
		}()
	}
	p.load.run(ctx, start)
	p.load.close()
	if ctx.Err() == nil {
		sleep(ctx, time.Until(start.Add(seconds(plan.Day.Length))))
	}
	cancel()
	troubles.Wait()
	p.stop()
	p.processWatchers.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return p.buildReport(), nil
}

// fits tells whether the machine has the descriptors for a day: a client's connection takes one here, and one in its proxy.
func (d *Day) checkDescriptors() error {
	var most syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most); err != nil {
		return err
	}
	if need := uint64(d.Proxies*(d.Load.Connections+d.Fleet.Nodes) + 256); need > most.Cur {
		return fmt.Errorf("load.connections: %d descriptors are needed, and %d may be open", need, most.Cur)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *runner) startBackends() error {
	d := p.plan.Day
	var err error
	if p.origin, err = p.startNode("origin", true, time.Time{}); err != nil {
		return err
	}
	for i := range d.Fleet.Nodes {
		name := fmt.Sprintf("c%d", i)
		n, err := p.startNode(name, false, time.Time{})
		if err != nil {
			return err
		}
		p.nodes = append(p.nodes, n)
		warm := map[string]bool{}
		for k := range d.Keys.Count {
			if hashedFloat("warm", keyName(uint64(k))) < d.Keys.Warm && !p.world.isAbsent(keyName(uint64(k))) {
				warm[keyName(uint64(k))] = true
			}
		}
		p.world.resetCache(name, warm)
	}
	p.nextNode = len(p.nodes)
	for _, r := range p.plan.Requests {
		p.world.routes[r.ID] = d.Routes[r.Route]
	}
	for i := range d.Proxies {
		f := NewDiscovery(i, p.log)
		f.network = p.network
		_, addr, err := f.Listen("127.0.0.1")
		if err != nil {
			return err
		}
		rows := []Row{p.endpointRow(p.origin, i, "active")}
		for _, n := range p.nodes {
			rows = append(rows, p.endpointRow(n, i, "active"))
		}
		f.Say(rows...)
		p.discoveries, p.discoveryAddresses = append(p.discoveries, f), append(p.discoveryAddresses, addr)
	}
	return nil
}

// node starts a cache or the origin; one that starts amid the day does so cold.
func (p *runner) startNode(name string, origin bool, since time.Time) (*Node, error) {
	d := p.plan.Day
	n, err := NewNode("127.0.0.1", name, origin, d.Proxies, p.log)
	if err != nil {
		return nil, err
	}
	n.attach(p.world)
	if origin {
		n.work = newWorkQueue(d.Origin, 0, 1)
	} else {
		n.work = newWorkQueue(d.Fleet.Server, seconds(d.Fleet.Cold), d.Fleet.ColdFrom)
		p.recordNodeStart(n, since)
		if zones := d.Fleet.Zones; len(zones) > 0 {
			p.world.mu.Lock()
			p.world.zones[name] = zones[len(p.world.zones)%len(zones)]
			p.world.mu.Unlock()
		}
	}
	return n, nil
}

// another starts a cache under a new name, cold.
func (p *runner) startNextNode() (*Node, error) {
	p.mu.Lock()
	name := fmt.Sprintf("c%d", p.nextNode)
	p.nextNode++
	p.mu.Unlock()
	return p.startNode(name, false, time.Now())
}

func (p *runner) recordNodeStart(n *Node, since time.Time) {
	n.work.mu.Lock()
	n.work.startedAt = since
	n.work.mu.Unlock()
	if !since.IsZero() {
		p.world.resetCache(n.Name, nil)
		p.log.Record(Seen{What: Began, Proxy: -1, Node: n.Name, Figure: float64(n.work.Cores) * 1000 / n.work.Service})
	}
}

func (p *runner) endpointRow(n *Node, proxy int, status string) Row {
	r := Row{Name: n.Name, Address: n.Addr(proxy), Kind: "cache", Status: status}
	if n.Origin {
		r.Kind = "origin"
		return r
	}
	p.world.mu.Lock()
	r.Zone = p.world.zones[n.Name]
	p.world.mu.Unlock()
	n.work.mu.Lock()
	defer n.work.mu.Unlock()
	if !n.work.startedAt.IsZero() {
		r.Since = n.work.startedAt.UnixMilli()
	}
	return r
}

// say tells every proxy of a node.
func (p *runner) publish(n *Node, status string) {
	for i, f := range p.discoveries {
		f.Say(p.endpointRow(n, i, status))
	}
}

func (p *runner) startProxies(ctx context.Context) error {
	d := p.plan.Day
	p.load = &loadGenerator{plan: p.plan, log: p.log, world: p.world, idle: make([][]*clientConn, d.Proxies)}
	var taken []net.Listener
	release := func() {
		for _, ln := range taken {
			ln.Close()
		}
		taken = nil
	}
	defer release()
	for i := range d.Proxies {
		ln, err := net.Listen("tcp", p.options.IP+":0")
		if err != nil {
			return err
		}
		// held until all have theirs: a port that is free again may be the next one's, and two that share it are each dealt a
		// part of the other's clients
		taken = append(taken, ln)
		addr := ln.Addr().String()
		dir, err := filepath.Abs(filepath.Join(p.options.Dir, fmt.Sprintf("proxy%d", i)))
		if err != nil {
			return err
		}
		if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o700); err != nil {
			return err
		}
		m := &managedProxy{site: ProxyConfig{
			Name: fmt.Sprintf("n%d", i), Listen: addr, Discovery: p.discoveryAddresses[i],
			ConfigFile: filepath.Join(dir, "config.json"), Dir: dir,
		}}
		if d.Peers.Talk {
			if err := p.setUpGossip(i, m); err != nil {
				return err
			}
		}
		if err := p.writeZoneConfig(m); err != nil {
			return err
		}
		if err := p.writeDutyConfig(m); err != nil {
			return err
		}
		if d.State {
			m.site.StateDir = filepath.Join(dir, "state")
			if err := os.MkdirAll(m.site.StateDir, 0o700); err != nil {
				return err
			}
		}
		if d.Missing.On {
			m.site.NegativeCacheFile = filepath.Join(dir, "missing.toml")
			if err := os.WriteFile(m.site.NegativeCacheFile, []byte("entries = 4096\n"), 0o600); err != nil {
				return err
			}
		}
		text, err := json.Marshal(p.proxyConfig(i, m.site))
		if err != nil {
			return err
		}
		if err := os.WriteFile(m.site.ConfigFile, text, 0o600); err != nil {
			return err
		}
		p.proxies = append(p.proxies, m)
		p.load.available, p.load.addresses = append(p.load.available, &atomic.Bool{}), append(p.load.addresses, addr)
	}
	if err := p.writeGossipConfigs(); err != nil {
		return err
	}
	release()
	var all sync.WaitGroup
	var failed atomic.Pointer[error]
	few := make(chan struct{}, 8) // at a time
	for i := range p.proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			few <- struct{}{}
			if err := p.startProxy(ctx, i); err != nil {
				failed.Store(&err)
			}
			<-few
		}()
	}
	if all.Wait(); failed.Load() != nil {
		return *failed.Load()
	}
	// they find each other, and each has its whole share, before the day begins
	if d.Peers.Talk && !sleep(ctx, 6*time.Second+time.Duration(d.Proxies)*50*time.Millisecond) {
		return ctx.Err()
	}
	return nil
}

func (p *runner) proxyConfig(i int, s ProxyConfig) map[string]any {
	d := p.plan.Day
	var routes []any
	for _, r := range d.Routes {
		route := map[string]any{
			"name": r.Name, "latency-objective": r.Objective, "overall-timeout": r.Overall, "value": r.Value,
			"effect": "pure",
		}
		if r.Write {
			if route["effect"] = "side_effect"; r.Dedup > 0 {
				route["effect"], route["group"], route["dedup-window"] = "token", "all", r.Dedup
			}
		}
		routes = append(routes, route)
	}
	settings := map[string]any{
		"replicas-of-me": d.Proxies, "me": i, "tick": 5, "shapes": []string{"cache", "origin"},
		"limits": map[string]any{
			"max-upstream-tries": 4, "may-cancel": true, "conn-idle": 15000, "connect-timeout": 250,
			"retry-after": true, "max-retry-after": 1000, "parallel-tries": d.Limits.Parallel,
		},
		"rules": map[string]any{
			"cold": d.Fleet.Cold * 1000, "fall": float64(OverloadWindow.Milliseconds()), "cold-from": d.Fleet.ColdFrom,
			"fall-multiple": OverloadMultiple,
		},
		"family-info": map[string]any{"mode": "aside", "origin-kind": 1}, "routes": routes,
	}
	if len(d.Fleet.Zones) > 0 {
		settings["zones"], settings["locality"] = d.Fleet.Zones, d.Fleet.Zones[i%len(d.Fleet.Zones)]
	}
	for k, v := range p.options.Overrides {
		setByPath(settings, k, v)
	}
	all := map[string]any{
		"name": s.Name, "listen": s.Listen, "discovery": s.Discovery,
		"seed": fmt.Sprintf("%016x", p.plan.Seed*1000003+uint64(i)), "known": nil, "settings": settings,
		"limits": map[string]any{"cores": d.Limits.Cores, "memory_mb": d.Limits.MemoryMB, "sockets": d.Limits.Sockets},
	}
	if s.AdminAddress != "" {
		all["management"] = s.AdminAddress
	}
	return all
}

// lay puts a value at a path whose steps are apart by dots.
func setByPath(settings map[string]any, path string, v any) {
	for i := range path {
		if path[i] == '.' {
			under, ok := settings[path[:i]].(map[string]any)
			if !ok {
				under = map[string]any{}
				settings[path[:i]] = under
			}
			setByPath(under, path[i+1:], v)
			return
		}
	}
	settings[path] = v
}

func (p *runner) stop() {
	var all sync.WaitGroup
	for i := range p.proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			p.endProxy(i, syscall.SIGTERM, "stopped")
		}()
	}
	all.Wait()
	for _, f := range p.discoveries {
		f.Close()
	}
	for _, r := range p.relays {
		r.shutdown()
	}
	for _, n := range append(p.nodes, p.origin) {
		if n != nil {
			n.Stop()
		}
	}
}

func (p *runner) buildReport() *Report {
	all := p.log.All()
	r := &Report{Plan: p.plan, Results: p.load.results, Seen: all, BadMute: int(p.unansweredBadClients.Load())}
	c := checkInvariants(p.plan.Day, p.plan.Requests, all)
	r.Breaches, r.ColdPeak, r.Stale = c.violations, c.coldPeak, c.maxStaleness
	p.measureAbsentKeys(r, all)
	r.Returns = p.measureRecoveries()
	p.measureGossip(r)
	p.measureZoneHealth(r)
	r.Together = p.summarizeBackgroundLoad(all)
	r.CPU = float64(p.proxyCPU.Load()) / 1000 / float64(max(len(p.plan.Requests), 1))
	late := 0
	for _, s := range all {
		if s.What == Late {
			late++
			r.LateMS = max(r.LateMS, s.Figure)
		}
	}
	r.Ran = late*200 <= len(p.plan.Requests)
	return r
}
