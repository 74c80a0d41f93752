package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"woodproxy/internal/server"

	"go.uber.org/zap"
)

// serveCommand implements the subcommand `woodproxy serve`.
type serveCommand struct {
	configOptions
	LogLevel string `env:"GW_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Log level; debug logs the trace of every request."`
}

// newLogger returns a logger that writes JSON lines of the given level and above to standard error.
func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if err := config.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("create the logger: %w", err)
	}
	if level == "debug" {
		config.Sampling = nil // sampling would drop repeated lines with the same text, such as request traces
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
		Stop:        signalChannel(syscall.SIGTERM, syscall.SIGINT),
		Reload:      signalChannel(syscall.SIGHUP),
		LogCounters: signalChannel(syscall.SIGUSR1),
	})
}

// signalChannel returns a channel that receives the given signals. The channel holds one signal: signals that arrive
// while another one is pending in it are merged with that one. Signals of different purposes need separate channels, so
// that none of them is lost to another.
func signalChannel(kinds ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, kinds...)
	return signals
}
