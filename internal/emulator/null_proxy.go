package emulator

import (
	"bufio"
	"context"
	"fmt"
	"net"
)

// ServeNull serves in place of a proxy until the context ends: it answers every request at once, without a backend. It is the
// baseline of measurements. The error is that of listening.
func ServeNull(ctx context.Context, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // it accepts no more in any case
	for {
		c, err := listener.Accept()
		if err != nil {
			return nil // the context has ended
		}
		go serveNull(c)
	}
}

// serveNull answers the commands of a connection until it ends.
func serveNull(c net.Conn) {
	defer func() { _ = c.Close() }() // all answers have been written, or the client is gone
	reader := bufio.NewReader(c)
	for {
		words, err := ReadCommand(reader)
		if err != nil {
			return
		}
		answer := "+PONG\r\n"
		if words[0] != "PING" {
			v := value("null", words[2], 0)
			answer = fmt.Sprintf("$%d\r\n%s\r\n", len(v), v)
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}
