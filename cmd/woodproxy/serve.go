package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"woodproxy/internal/server"

	"go.uber.org/zap"
)

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
	return server.Serve(config, c.reread, logger, server.Signals{
		Stop:        notified(syscall.SIGTERM, syscall.SIGINT),
		Reload:      notified(syscall.SIGHUP),
		LogCounters: notified(syscall.SIGUSR1),
	})
}

// notified returns a channel on which the process is told of signals. One that waits there stands for all that come
// meanwhile, and none takes the place of another kind.
func notified(kinds ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, kinds...)
	return signals
}
