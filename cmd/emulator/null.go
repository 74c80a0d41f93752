package main

import (
	"context"

	"woodproxy/internal/emulator"
)

// nullCommand serves in place of a proxy and replies to every request at once, without a fleet. A run against it measures
// the cost of the load generator and of the connection to a process.
type nullCommand struct {
	Listen string `env:"GW_LISTEN" required:"" help:"Address for client connections."`
}

// Run serves until the process is interrupted.
func (c *nullCommand) Run(ctx context.Context) error { return emulator.ServeNull(ctx, c.Listen) }
