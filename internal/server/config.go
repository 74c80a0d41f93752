package server

import (
	"errors"
	"fmt"
	"net"

	"woodproxy/duties"
	"woodproxy/internal/gossip"
	"woodproxy/internal/settings"
	"woodproxy/internal/snapshot"
	"woodproxy/internal/wire"
	"woodproxy/negativecache"
	"woodproxy/rebalance"
	"woodproxy/zonehealth"

	"github.com/valyala/fastjson"
)

const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64
)

// Config is the configuration of one proxy process. Read returns a valid one. The caller must not change it after
// it is passed to Serve, which itself adds gossip seeds from the state file and releases KnownEndpoints.
type Config struct {
	Name       string // name of this proxy, unique in the fleet
	Listen     string // host:port for clients
	Discovery  string // host:port of the discovery service
	Management string // host:port of the admin API; empty: no admin API

	LimitRuntime  bool   // the process runs this proxy only: the limits of memory and cores are applied to the Go runtime
	HotRestartDir string // directory of the hot-restart socket; empty: no hot restart

	Seed     uint64  // seed of the random number generators
	Cores    float64 // CPU limit, above 0
	MemoryMB int     // memory limit in MiB
	Sockets  int     // limit of open file descriptors, at least 64

	KnownEndpoints             *wire.EndpointList // endpoint list to start with; nil: none, or the proxy has started
	Settings                   *settings.Settings
	ShadowSettings             *settings.Settings // settings of the shadow balancer; nil: no shadow balancer
	NotificationsWithoutGossip bool               // notifications are allowed, but no gossip file is configured

	GossipFile   string // gossip file; empty: no gossip
	GossipListen string // host:port for gossip, overrides the gossip file
	Gossip       *gossip.Config

	ZoneHealthFile string // zone health file; empty: zones are not evacuated
	ZoneHealth     *zonehealth.Settings

	StateDir   string // directory of the state file; empty: no state file
	StateStore *snapshot.Store

	NegativeCacheFile string // negative cache file; empty: no negative cache
	NegativeCache     *negativecache.Settings

	RebalanceFile string // rebalance file; empty: no migrations are planned
	Rebalance     *rebalance.Settings

	DutiesFile string // duties file; empty: each proxy performs all duties itself
	Duties     *duties.Settings
}

// Read reads and validates the configuration file and the other files that overrides names. Name, Listen, Discovery and
// Management of overrides take precedence over the values in the file. LimitRuntime, HotRestartDir, GossipListen, StateDir
// and the names of the other files are taken from overrides only. An error is a single line that names the invalid file or
// key.
func Read(file string, overrides Config) (*Config, error) {
	read, err := readConfigFile(file)
	if err != nil {
		return nil, err
	}
	document := read.document
	config := &Config{
		KnownEndpoints: read.known,
		LimitRuntime:   overrides.LimitRuntime, HotRestartDir: overrides.HotRestartDir,
		GossipFile: overrides.GossipFile, GossipListen: overrides.GossipListen,
		ZoneHealthFile: overrides.ZoneHealthFile, StateDir: overrides.StateDir, NegativeCacheFile: overrides.NegativeCacheFile,
		RebalanceFile: overrides.RebalanceFile, DutiesFile: overrides.DutiesFile,
	}
	if err := config.readProcess(document, &overrides); err != nil {
		return nil, err
	}
	if err := config.checkProcess(); err != nil {
		return nil, err
	}
	if err := config.readSettings(document); err != nil {
		return nil, err
	}
	if err := config.readGossipFile(); err != nil {
		return nil, err
	}
	if err := config.readPolicyFiles(); err != nil {
		return nil, err
	}
	// This must be the last step: it changes the settings in the document.
	if config.ShadowSettings, err = readShadowSettings(document, config.Settings); err != nil {
		return nil, fmt.Errorf("configuration: watch: %w", err)
	}
	return config, nil
}

// readProcess reads the name, the addresses, the limits and the seed.
func (c *Config) readProcess(document *fastjson.Value, overrides *Config) error {
	reader := &configReader{document: document}
	c.Name = reader.text("name", overrides.Name)
	c.Listen = reader.text("listen", overrides.Listen)
	c.Discovery = reader.text("discovery", overrides.Discovery)
	c.Management = reader.optionalText("management", overrides.Management)
	c.Cores = reader.limit("cores", defaultCores)
	c.MemoryMB = int(reader.limit("memory_mb", defaultMemoryMB))
	c.Sockets = int(reader.limit("sockets", defaultSockets))
	c.Seed = reader.seed()
	return reader.err
}

// checkProcess checks the addresses and the socket limit that readProcess has read.
func (c *Config) checkProcess() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.Management != "" {
		if err := checkAddress("management", c.Management); err != nil {
			return err
		}
	}
	if c.Management == c.Listen {
		return fmt.Errorf("configuration: management: same address as listen: %q", c.Management)
	}
	if c.Sockets < minSockets {
		return fmt.Errorf("configuration: limits.sockets: fewer than %d", minSockets)
	}
	return nil
}

func checkAddress(key, address string) error {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
		return fmt.Errorf("configuration: %s: no address and port: %q", key, address)
	}
	return nil
}

func (c *Config) readSettings(document *fastjson.Value) error {
	object := document.Get("settings")
	if object == nil || object.Type() != fastjson.TypeObject {
		return errors.New("configuration: settings: missing or mistyped")
	}
	var err error
	if c.Settings, err = settings.Read(object); err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	c.NotificationsWithoutGossip, c.Settings.Balancer.PeerCount = c.Settings.Balancer.PeerCount > 0, 0
	return nil
}

func (c *Config) readGossipFile() error {
	if c.GossipFile == "" {
		return nil
	}
	var err error
	if c.Gossip, err = gossip.ReadConfig(c.GossipFile, c.GossipListen); err != nil {
		return err
	}
	for _, address := range [...]string{c.Listen, c.Management, c.Discovery} {
		if address == c.Gossip.Listen {
			return fmt.Errorf("peers: %s: listen: same address as another listener: %q", c.GossipFile, address)
		}
	}
	// The balancer has a single peer, which represents all other proxies: gossip distributes its notifications.
	c.NotificationsWithoutGossip, c.Settings.Balancer.PeerCount, c.Settings.Balancer.Self = false, 1, 0
	return nil
}

// readPolicyFiles opens the state directory and reads the TOML files other than the gossip file. It skips those that are
// not configured.
func (c *Config) readPolicyFiles() (err error) {
	if c.ZoneHealthFile != "" {
		if c.ZoneHealth, err = readZoneHealthFile(c.ZoneHealthFile, c.Name, c.Settings); err != nil {
			return err
		}
	}
	if c.StateDir != "" {
		if c.StateStore, err = snapshot.Open(c.StateDir, c.Name); err != nil {
			return err
		}
	}
	if c.NegativeCacheFile != "" {
		if c.NegativeCache, err = readNegativeCacheFile(c.NegativeCacheFile, c); err != nil {
			return err
		}
	}
	if c.RebalanceFile != "" {
		if c.Rebalance, err = readRebalanceFile(c.RebalanceFile); err != nil {
			return err
		}
	}
	if c.DutiesFile != "" {
		if c.Duties, err = readDutiesFile(c.DutiesFile, c); err != nil {
			return err
		}
	}
	return nil
}

// Zone returns the zone of the proxy; it is empty if the zone is unknown.
func (c *Config) Zone() string {
	if c.ZoneHealth != nil {
		return c.ZoneHealth.Zone
	}
	return c.Settings.LocalZone
}

// cluster returns the name of the fleet of this proxy; it is empty without a gossip file.
func (c *Config) cluster() string {
	if c.Gossip != nil {
		return c.Gossip.Cluster
	}
	return ""
}

// proxies returns the number of proxies in the fleet according to the settings, at least 1.
func (c *Config) proxies() int { return max(c.Settings.Balancer.Proxies, 1) }
