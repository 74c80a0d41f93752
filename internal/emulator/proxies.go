package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// parallelStarts is the maximum number of proxies that are started concurrently.
const parallelStarts = 8

// Gossiping proxies need this time after the last start until they have found each other and have their complete quotas.
const (
	gossipSettleTime         = 6 * time.Second
	gossipSettleTimePerProxy = 50 * time.Millisecond
)

// ProxyConfig holds the addresses of a proxy and the paths of its configuration files. The feature that belongs to an empty
// path or address is disabled.
type ProxyConfig struct {
	Name, Listen, Discovery string

	ConfigFile        string
	AdminAddress      string // listen address of the admin server
	GossipFile        string
	StateDir          string
	NegativeCacheFile string
	RebalanceFile     string
	DutiesFile        string
	ZoneHealthFile    string
	Dir               string // directory for the log and temporary files
	FaultPage         string // file through which faults are injected into system calls
}

// Proxy is a proxy that was started.
type Proxy interface {
	Signal(s os.Signal)
	Kill()
	Done() <-chan error // closed or sent to once the proxy has ended
}

// StartFunc starts a proxy, either as a process or, in tests, within the test process.
type StartFunc func(s ProxyConfig) (Proxy, error)

// managedProxy is a proxy whose processes are started and ended by the runner.
type managedProxy struct {
	config ProxyConfig

	mu      sync.Mutex
	current *incarnation
	running bool // a process is running or being started

	// starting is held while a process starts, and while its configuration file is being replaced.
	starting sync.Mutex

	crowds          atomic.Int32 // number of present crowds of idle clients, which occupy descriptors
	peakMemoryMB    float64
	peakDescriptors int
}

// startProxies configures and starts all proxies. If they gossip, it also waits for the time in which they find each other
// and reach their complete quotas.
func (r *runner) startProxies(ctx context.Context) error {
	d := r.plan.Scenario
	r.load = newLoadGenerator(r.plan, r.log, r.cluster)
	if err := r.configureProxies(); err != nil {
		return err
	}
	if err := r.createFaultPages(); err != nil {
		return err
	}
	var starts sync.WaitGroup
	var failed atomic.Pointer[error]
	tokens := make(chan struct{}, parallelStarts)
	for i := range r.proxies {
		starts.Go(func() {
			tokens <- struct{}{}
			if err := r.startProxy(ctx, i); err != nil {
				failed.Store(&err)
			}
			<-tokens
		})
	}
	if starts.Wait(); failed.Load() != nil {
		return *failed.Load()
	}
	if d.Gossip.On && !sleep(ctx, gossipSettleTime+time.Duration(d.Proxies)*gossipSettleTimePerProxy) {
		return ctx.Err()
	}
	return nil
}

// configureProxies reserves the addresses of the proxies and writes their files.
func (r *runner) configureProxies() error {
	if r.plan.Scenario.Gossip.On {
		r.addressPrefix, r.proxyByIP = nextAddressPrefix(), map[string]string{}
	}
	for i := range r.plan.Scenario.Proxies {
		address, err := r.reservePort(r.options.IP)
		if err != nil {
			return err
		}
		if err := r.configureProxy(i, address); err != nil {
			return err
		}
	}
	return r.writeGossipConfigs()
}

// reservePort returns an address with a free port that this run has not returned before. A port that becomes free again
// could otherwise be assigned twice, and of two processes with the same port either one fails to start or each receives part
// of the other's clients.
func (r *runner) reservePort(ip string) (string, error) {
	for {
		address, err := freePort(ip)
		if err != nil {
			return "", err
		}
		r.mu.Lock()
		taken := r.reserved[address]
		r.reserved[address] = true
		r.mu.Unlock()
		if !taken {
			return address, nil
		}
	}
}

// configureProxy writes the configuration files of one proxy and adds it to the run.
func (r *runner) configureProxy(i int, address string) error {
	dir, err := filepath.Abs(filepath.Join(r.options.Dir, fmt.Sprintf("proxy%d", i)))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o700); err != nil {
		return err
	}
	m := &managedProxy{config: ProxyConfig{
		Name: proxyName(i), Listen: address, Discovery: r.discoveryAddresses[i],
		ConfigFile: filepath.Join(dir, "config.json"), Dir: dir,
	}}
	if err := r.configureFeatures(i, m); err != nil {
		return err
	}
	text, err := json.Marshal(r.configFileContent(i, m.config))
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.config.ConfigFile, text, 0o600); err != nil {
		return err
	}
	r.proxies = append(r.proxies, m)
	r.load.addProxy(address)
	return nil
}

// configureFeatures sets the addresses and writes the files of a proxy's optional features.
func (r *runner) configureFeatures(i int, m *managedProxy) error {
	d := r.plan.Scenario
	if d.Gossip.On {
		if err := r.setUpGossip(i, m); err != nil {
			return err
		}
	}
	if d.Admin && m.config.AdminAddress == "" {
		address, err := r.reservePort(r.options.IP)
		if err != nil {
			return err
		}
		m.config.AdminAddress = address
	}
	if err := r.writeZoneConfig(m); err != nil {
		return err
	}
	if err := r.writeDutyConfig(m); err != nil {
		return err
	}
	if d.State {
		m.config.StateDir = filepath.Join(m.config.Dir, "state")
		if err := os.MkdirAll(m.config.StateDir, 0o700); err != nil {
			return err
		}
	}
	if d.NegativeCache.On {
		m.config.NegativeCacheFile = filepath.Join(m.config.Dir, "missing.toml")
		return os.WriteFile(m.config.NegativeCacheFile, []byte("entries = 4096\n"), 0o600)
	}
	return nil
}

// configFileContent returns the content of a proxy's configuration file.
func (r *runner) configFileContent(i int, config ProxyConfig) map[string]any {
	limits := r.plan.Scenario.Limits
	file := map[string]any{
		"name": config.Name, "listen": config.Listen, "discovery": config.Discovery,
		"seed": fmt.Sprintf("%016x", r.plan.Seed*1000003+uint64(i)), "known": nil, "settings": r.proxySettings(i),
		"limits": map[string]any{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
	}
	if config.AdminAddress != "" {
		file["management"] = config.AdminAddress
	}
	return file
}

// proxySettings returns the settings of a proxy, with Options.Overrides applied.
func (r *runner) proxySettings(i int) map[string]any {
	d := r.plan.Scenario
	settings := map[string]any{
		"replicas-of-me": d.Proxies, "me": i, "tick": 5, "shapes": []string{"cache", "origin"},
		"limits": map[string]any{
			"max-upstream-tries": 4, "may-cancel": true, "conn-idle": 15000, "connect-timeout": 250,
			"retry-after": true, "max-retry-after": 1000, "parallel-tries": d.Limits.Hedging,
		},
		"rules": map[string]any{
			"cold": d.Fleet.SlowStartS * 1000, "fall": float64(overloadWindow.Milliseconds()), "cold-from": d.Fleet.InitialSpeed,
			"fall-multiple": overloadMultiple,
		},
		"family-info": map[string]any{"mode": "aside", "origin-kind": 1}, "routes": routeSettings(d.Routes),
	}
	if zones := d.Fleet.Zones; len(zones) > 0 {
		settings["zones"], settings["locality"] = zones, zones[i%len(zones)]
	}
	for path, v := range r.options.Overrides {
		setByPath(settings, path, v)
	}
	return settings
}

// routeSettings returns the routes in the form of the proxy's settings.
func routeSettings(routes []Route) []any {
	var all []any
	for _, route := range routes {
		settings := map[string]any{
			"name": route.Name, "latency-objective": route.ObjectiveMS, "overall-timeout": route.TimeoutMS, "value": route.Weight,
			"effect": "pure",
		}
		switch {
		case route.Write && route.DedupMS > 0:
			settings["effect"], settings["group"], settings["dedup-window"] = "token", "all", route.DedupMS
		case route.Write, route.Unsafe:
			settings["effect"] = "side_effect"
		}
		all = append(all, settings)
	}
	return all
}

// setByPath sets a value at a path of keys separated by dots. Missing intermediate maps are created.
func setByPath(settings map[string]any, path string, v any) {
	for i := range path {
		if path[i] != '.' {
			continue
		}
		child, ok := settings[path[:i]].(map[string]any)
		if !ok {
			child = map[string]any{}
			settings[path[:i]] = child
		}
		setByPath(child, path[i+1:], v)
		return
	}
	settings[path] = v
}
