package gossip

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"woodproxy/internal/configfile"
)

// Config is what the file of peers says.
type Config struct {
	Cluster   string   `toml:"cluster"`   // its name: proxies of another are not heard
	Listen    string   `toml:"listen"`    // address and port, TCP and UDP
	Advertise string   `toml:"advertise"` // where peers meet this one, if not there
	Seeds     []string `toml:"seeds"`     // addresses of some that are likely to be up
	Hold      float64  `toml:"hold_s"`    // the share of one that has ended is taken over after so long
	Floor     float64  `toml:"floor"`     // part of an even share that nobody takes over
	List      *bool    `toml:"list"`      // whether nodes go round: all discoveries number one list alike. Yes, where it is not said
}

// Read reads the file of peers; listen, where it is not empty, goes before what the file says, since all else may be the
// same at every proxy. An error is one line that names what is wrong.
func Read(file, listen string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	c := &Config{Hold: 3, Floor: 0.25}
	if err := configfile.TOML(text, c); err != nil {
		return nil, fmt.Errorf("peers: %s: %w", file, err)
	}
	if listen != "" {
		c.Listen = listen
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("peers: %s: %w", file, err)
	}
	return c, nil
}

func (c *Config) check() error {
	if c.Cluster == "" || len(c.Cluster) > 100 {
		return errors.New("cluster: missing or too long")
	}
	if c.Listen == "" {
		return errors.New("listen: missing")
	}
	if err := address("listen", c.Listen); err != nil {
		return err
	}
	if err := address("advertise", c.Advertise); err != nil {
		return err
	}
	if len(c.Seeds) > 64 {
		return errors.New("seeds: more than 64")
	}
	for _, s := range c.Seeds {
		if err := address("seeds", s); err != nil {
			return err
		}
	}
	if !(c.Hold >= 0.5 && c.Hold <= 600) {
		return fmt.Errorf("hold_s: %v: not from 0.5 to 600", c.Hold)
	}
	if !(c.Floor >= 0.01 && c.Floor <= 1) {
		return fmt.Errorf("floor: %v: not from 0.01 to 1", c.Floor)
	}
	return nil
}

// address takes an IP address that others can reach, and a port: no name is looked up.
func address(key, s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%s: no address and port: %q", key, s)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%s: no port: %q", key, s)
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("%s: no address that peers can reach: %q", key, s)
	}
	return nil
}

// Free tells whether the address that the file names can be bound.
func (c *Config) Free() error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("peers: listen: %w", err)
	}
	defer ln.Close()
	u, err := net.ListenPacket("udp", c.Listen)
	if err != nil {
		return fmt.Errorf("peers: listen: %w", err)
	}
	return u.Close()
}
