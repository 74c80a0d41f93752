// Woodproxy routes the requests of cache clients to a fleet of cache servers.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

func main() {
	var commands struct {
		Serve    serveCommand    `cmd:"" help:"Serve clients until told to stop."`
		Check    checkCommand    `cmd:"" help:"Say whether a configuration is good."`
		Counters countersCommand `cmd:"" help:"Print what a running proxy has counted since its start."`
		Peers    peersCommand    `cmd:"" help:"Print how a running proxy stands with its peers."`
		Zones    zonesCommand    `cmd:"" help:"Print how zones stand with a running proxy and its peers, or order one in, out or held."`
		Trace    traceCommand    `cmd:"" help:"Print what the logs of proxies say of one request."`
		Version  versionCommand  `cmd:"" help:"Print the version."`
	}
	parsed := kong.Parse(&commands, kong.Name("woodproxy"), kong.Description("A router for fleets of cache servers."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "woodproxy:", err)
		os.Exit(1)
	}
}
