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
type serveCommand struct {
	configOptions
	LogLevel string `env:"GW_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"debug: with what became of every request."`
}

// newLogger returns the logger of JSON lines on standard error, from a level on.
func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if err := config.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("create the logger: %w", err)
	}
	if level == "debug" {
		config.Sampling = nil // which would drop lines of the same text
	}
	logger, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("create the logger: %w", err)
	}
	return logger, nil
}

// Run serves clients until a signal stops the process.
func (c *serveCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	logger, err := newLogger(c.LogLevel)
	if err != nil {
		return err
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
