package main

import "woodproxy/internal/server"

// configOptions are the flags and environment variables of serve and check. They name the configuration files, and
// override some values in them.
type configOptions struct {
	Config          string `env:"GW_CONFIG" help:"Configuration file (JSON)." placeholder:"FILE"`
	Name            string `env:"GW_NAME" help:"Name of this proxy; overrides the configuration file."`
	Listen          string `env:"GW_LISTEN" help:"Address to serve clients at; overrides the configuration file."`
	Discovery       string `env:"GW_DISCOVERY" help:"Address of discovery; overrides the configuration file."`
	Management      string `env:"GW_MANAGEMENT" help:"Address of the admin server; overrides the configuration file."`
	Peers           string `env:"GW_PEERS" help:"Gossip file (TOML); without it, the proxy does not communicate with others." placeholder:"FILE"`
	PeersListen     string `env:"GW_PEERS_LISTEN" help:"Address for gossip; overrides the gossip file."`
	Zones           string `env:"GW_ZONES" help:"Zone health file (TOML); without it, zones are not evacuated." placeholder:"FILE"`
	Turns           string `env:"GW_TURNS" help:"Duties file (TOML), requires gossip; without it, each proxy performs all duties itself." placeholder:"FILE"`
	State           string `env:"GW_STATE" help:"Directory of this proxy alone, which stores its endpoint list and peers for the next start; without it, nothing is stored." placeholder:"DIR"`
	Missing         string `env:"GW_MISSING" help:"Negative cache file (TOML); without it, absent keys are not cached." placeholder:"FILE"`
	Moves           string `env:"GW_MOVES" help:"Rebalance file (TOML); without it, the admin server does not plan shard migrations." placeholder:"FILE"`
	SharedDirectory string `name:"shared" env:"TMPDIR" help:"Directory that a process shares with its successor in a hot restart."`
}

// overrides returns the values of the flags and the environment that override the configuration file. They exclude the
// address of discovery, which after a reload is always the one in the file.
func (o *configOptions) overrides() server.Config {
	return server.Config{
		Name:              o.Name,
		Listen:            o.Listen,
		Management:        o.Management,
		LimitRuntime:      true,
		HotRestartDir:     o.SharedDirectory,
		GossipFile:        o.Peers,
		GossipListen:      o.PeersListen,
		ZoneHealthFile:    o.Zones,
		StateDir:          o.State,
		NegativeCacheFile: o.Missing,
		RebalanceFile:     o.Moves,
		DutiesFile:        o.Turns,
	}
}

// read reads the configuration at the start of the process.
func (o *configOptions) read() (*server.Config, error) {
	overrides := o.overrides()
	overrides.Discovery = o.Discovery
	return server.Read(o.Config, overrides)
}

// reread reads the configuration again on SIGHUP.
func (o *configOptions) reread() (*server.Config, error) {
	return server.Read(o.Config, o.overrides())
}
