package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"time"

	"woodproxy/internal/wire"
)

// countersTimeout bounds connecting to the proxy, and then the whole call.
const countersTimeout = time.Second

// countersCommand is `woodproxy counters`.
type countersCommand struct {
	Address string `arg:"" help:"Where the proxy listens."`
}

// Run asks the proxy for INFO at its clients' address, and prints the answer.
func (c *countersCommand) Run() error {
	conn, err := net.DialTimeout("tcp", c.Address, countersTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // all that is wanted has been read by then
	if err := conn.SetDeadline(time.Now().Add(countersTimeout)); err != nil {
		return fmt.Errorf("set the call's deadline: %w", err)
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
