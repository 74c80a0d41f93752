package main

import "woodproxy/internal/server"

// configOptions are the flags and environment variables by which serve and check are told where the configuration is and
// what goes before it.
type configOptions struct {
	Config          string `env:"GW_CONFIG" help:"The configuration, a JSON file." placeholder:"FILE"`
	Name            string `env:"GW_NAME" help:"This proxy's name, before the one in the file."`
	Listen          string `env:"GW_LISTEN" help:"Where clients connect, before the one in the file."`
	Discovery       string `env:"GW_DISCOVERY" help:"Where the list comes from, before the one in the file."`
	Management      string `env:"GW_MANAGEMENT" help:"Where operators call, before the one in the file."`
	Peers           string `env:"GW_PEERS" help:"A file by which proxies talk with one another; without it they do not." placeholder:"FILE"`
	PeersListen     string `env:"GW_PEERS_LISTEN" help:"Where peers meet this proxy, before the one in that file."`
	Zones           string `env:"GW_ZONES" help:"A file by which whole zones are left and returned to; without it they are not." placeholder:"FILE"`
	Turns           string `env:"GW_TURNS" help:"A file by which proxies that talk take turns; without it each does all for itself." placeholder:"FILE"`
	State           string `env:"GW_STATE" help:"A directory of its own where the proxy keeps the list and its peers for its next start; without it nothing." placeholder:"DIR"`
	Missing         string `env:"GW_MISSING" help:"A file by which keys are remembered that the origin lacks; without it they are not." placeholder:"FILE"`
	Moves           string `env:"GW_MOVES" help:"A file by which moves of shards are planned at the management address; without it they are not." placeholder:"FILE"`
	SharedDirectory string `name:"shared" env:"TMPDIR" help:"A directory that a process shares with the one that replaces it."`
}

// overrides returns what the flags and the environment put before the configuration file, but for the address of
// discovery: where discovery is after a reload, only the file can tell.
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

// read reads the configuration as at the start of the process.
func (o *configOptions) read() (*server.Config, error) {
	overrides := o.overrides()
	overrides.Discovery = o.Discovery
	return server.Read(o.Config, overrides)
}

// reread reads the configuration as on SIGHUP.
func (o *configOptions) reread() (*server.Config, error) {
	return server.Read(o.Config, o.overrides())
}
