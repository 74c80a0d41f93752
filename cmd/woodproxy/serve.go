package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"woodproxy/internal/server"

	"go.uber.org/zap"
)

// pendingSignals is how many signals may wait while the server is busy with one.
const pendingSignals = 4

// serveCommand is `woodproxy serve`.
type serveCommand struct{ configOptions }

// Run serves clients until a signal stops the process.
func (c *serveCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	logger, err := zap.NewProduction()
	if err != nil {
		return fmt.Errorf("create the logger: %w", err)
	}
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return server.Serve(config, c.reread, logger, signals)
}
