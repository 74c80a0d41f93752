// Woodproxy routes the requests of cache clients to a fleet of cache servers.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

func main() {
	var commands struct {
		Serve    serveCommand    `cmd:"" help:"Serve clients until a signal stops the process."`
		Check    checkCommand    `cmd:"" help:"Check a configuration and the files that it names."`
		Counters countersCommand `cmd:"" help:"Print the counters of a running proxy since its start."`
		Peers    peersCommand    `cmd:"" help:"Print a running proxy's view of its peers."`
		Zones    zonesCommand    `cmd:"" help:"Print a running proxy's view of the zones, or set an override for a zone or region."`
		Trace    traceCommand    `cmd:"" help:"Print the lines about one request in the logs of proxies."`
		Version  versionCommand  `cmd:"" help:"Print the version."`
	}
	parsed := kong.Parse(&commands, kong.Name("woodproxy"), kong.Description("A router for fleets of cache servers."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "woodproxy:", err)
		os.Exit(1)
	}
}
