package gossip

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"woodproxy/internal/configfile"
)

// Defaults and bounds of the peers file.
const (
	defaultTakeoverDelaySeconds = 3
	minTakeoverDelaySeconds     = 0.5
	maxTakeoverDelaySeconds     = 600

	defaultQuotaFloor = 0.25
	minQuotaFloor     = 0.01
	maxQuotaFloor     = 1

	maxClusterLength = 100 // bytes
	maxSeeds         = 64
	maxPort          = 65535
)

// Config is the content of the peers file. All addresses consist of an IP address and a port; host names are not resolved.
type Config struct {
	// Cluster is the name of the cluster, 1 to 100 bytes long. Packets and streams with another name are dropped.
	Cluster string `toml:"cluster"`
	// Listen is the address at which the agent listens for TCP and UDP.
	Listen string `toml:"listen"`
	// Advertise is the address at which peers reach this proxy. Default: Listen.
	Advertise string `toml:"advertise"`
	// Seeds are the addresses of up to 64 proxies through which this proxy joins the cluster.
	Seeds []string `toml:"seeds"`
	// TakeoverDelaySeconds is the delay in seconds before other proxies take over the quota of a departed proxy. Range: 0.5
	// to 600. Default: 3.
	TakeoverDelaySeconds float64 `toml:"hold_s"`
	// QuotaFloor is the fraction of a proxy's even quota share that other proxies never take over. Range: 0.01 to 1.
	// Default: 0.25.
	QuotaFloor float64 `toml:"floor"`
	// ShareEndpoints sets whether proxies exchange endpoint lists. If so, the discovery services of all proxies must number
	// the versions of the list identically. Default: nil, which is equivalent to true.
	ShareEndpoints *bool `toml:"list"`
}

// ReadConfig reads and validates the peers file. If listen is not empty, it overrides the listen address in the file, so
// that all proxies can use the same file. The error is a single line that names the file and, if the file could be read,
// the key.
func ReadConfig(file, listen string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	config := &Config{TakeoverDelaySeconds: defaultTakeoverDelaySeconds, QuotaFloor: defaultQuotaFloor}
	if err := configfile.DecodeTOML(text, config); err != nil {
		return nil, fmt.Errorf("peers: %s: %w", file, err)
	}
	if listen != "" {
		config.Listen = listen
	}
	if config.Advertise == "" {
		config.Advertise = config.Listen
	}
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("peers: %s: %w", file, err)
	}
	return config, nil
}

// validate returns an error for the first invalid value. It checks the keys in the order of the fields of Config.
func (c *Config) validate() error {
	if c.Cluster == "" || len(c.Cluster) > maxClusterLength {
		return errors.New("cluster: missing or too long")
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	if err := validateRange("hold_s", c.TakeoverDelaySeconds, minTakeoverDelaySeconds, maxTakeoverDelaySeconds); err != nil {
		return err
	}
	return validateRange("floor", c.QuotaFloor, minQuotaFloor, maxQuotaFloor)
}

func (c *Config) validateAddresses() error {
	if c.Listen == "" {
		return errors.New("listen: missing")
	}
	if err := validateAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := validateAddress("advertise", c.Advertise); err != nil {
		return err
	}
	if len(c.Seeds) > maxSeeds {
		return fmt.Errorf("seeds: more than %d", maxSeeds)
	}
	for _, seed := range c.Seeds {
		if err := validateAddress("seeds", seed); err != nil {
			return err
		}
	}
	return nil
}

// validateRange returns an error if the value is less than lowest, greater than highest or NaN.
func validateRange(key string, value, lowest, highest float64) error {
	if value >= lowest && value <= highest {
		return nil
	}
	return fmt.Errorf("%s: %v: not from %v to %v", key, value, lowest, highest)
}

// validateAddress returns an error that starts with the key unless the address consists of a unicast IP address and a
// port.
func validateAddress(key, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%s: no address and port: %q", key, address)
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > maxPort {
		return fmt.Errorf("%s: no port: %q", key, address)
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("%s: no address that peers can reach: %q", key, address)
	}
	return nil
}

// isReachable reports whether an address received from a peer is valid, so that it can be dialed.
func isReachable(address string) bool { return validateAddress("", address) == nil }

// sharesEndpoints reports whether proxies exchange endpoint lists.
func (c *Config) sharesEndpoints() bool { return c.ShareEndpoints == nil || *c.ShareEndpoints }

// CheckListenAddress returns an error if the listen address can't be bound for both TCP and UDP. It closes both sockets
// before it returns.
func (c *Config) CheckListenAddress() error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("peers: listen: %w", err)
	}
	conn, err := net.ListenPacket("udp", c.Listen)
	if err != nil {
		_ = listener.Close() // only the error of the UDP socket is reported
		return fmt.Errorf("peers: listen: %w", err)
	}
	return errors.Join(listener.Close(), conn.Close())
}
