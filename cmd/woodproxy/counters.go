package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"time"

	"woodproxy/internal/wire"
)

// countersTimeout is the maximum time to connect to the proxy, and then that of the complete exchange.
const countersTimeout = time.Second

// countersCommand implements the subcommand `woodproxy counters`.
type countersCommand struct {
	Address string `arg:"" help:"Address at which the proxy serves clients."`
}

// Run sends the command INFO to the proxy's address for clients and prints the reply.
func (c *countersCommand) Run() error {
	conn, err := net.DialTimeout("tcp", c.Address, countersTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the reply has been read
	if err := conn.SetDeadline(time.Now().Add(countersTimeout)); err != nil {
		return fmt.Errorf("set the deadline of the call: %w", err)
	}
	if _, err := conn.Write(wire.AppendPlainCommand(nil, "INFO")); err != nil {
		return err
	}
	text, err := wire.ReadBulkString(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
