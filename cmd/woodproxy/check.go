package main

import (
	"fmt"

	"woodproxy/internal/server"
	"woodproxy/negativecache"
)

// checkCommand implements the subcommand `woodproxy check`.
type checkCommand struct{ configOptions }

// Run reads the configuration and the files that the flags name, checks that the admin server and gossip could listen on
// their addresses, and prints a line for each valid file. It does not check the address for clients.
func (c *checkCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	if err := server.CheckManagementAddress(config.Management); err != nil {
		return err
	}
	if config.Gossip != nil {
		if err := config.Gossip.CheckListenAddress(); err != nil {
			return err
		}
	}
	c.printOptionalFiles(config)
	c.printConfiguration(config)
	return nil
}

func (c *checkCommand) printOptionalFiles(config *server.Config) {
	if peers := config.Gossip; peers != nil {
		fmt.Printf("%s: good; cluster %s, %d seeds\n", c.Peers, peers.Cluster, len(peers.Seeds))
	}
	if zones := config.ZoneHealth; zones != nil {
		fmt.Printf("%s: good; this proxy is in zone %q, %d regions\n", c.Zones, zones.Zone, len(zones.Regions))
	}
	if config.StateStore != nil {
		fmt.Printf("%s: good; the state of this proxy is stored there\n", c.State)
	}
	if missing := config.NegativeCache; missing != nil {
		seconds := float64(missing.TTL) / float64(negativecache.Second)
		fmt.Printf("%s: good; capacity %d keys, TTL %v s\n", c.Missing, missing.Entries, seconds)
	}
	if moves := config.Rebalance; moves != nil {
		fmt.Printf("%s: good; slack %v, at most %d migrations per node, %d in total\n",
			c.Moves, moves.Slack, moves.MaxMigrationsPerNode, moves.MaxMigrations)
	}
	if turns := config.Duties; turns != nil {
		fmt.Printf("%s: good; %d watchers, %d keepers\n", c.Turns, turns.Watchers, turns.IdleOwners)
	}
}

func (c *checkCommand) printConfiguration(config *server.Config) {
	settings := config.Settings
	fmt.Printf("%s: good; %d routes, %d tenants, %d proxies\n",
		c.Config, len(settings.Routes), len(settings.Tenants), settings.Balancer.Proxies)
	if config.NotificationsWithoutGossip {
		fmt.Println("limits.may-tell: no gossip file is named; no notifications are sent")
	}
	if config.ShadowSettings != nil {
		fmt.Println("shadow settings are evaluated")
	}
}
