package emulator

import (
	"bufio"
	"context"
	"fmt"
	"net"
)

// ServeNull serves clients in place of a proxy until the context ends. It replies to every request immediately, without a
// backend, as a baseline for measurements. It returns an error only if it can't listen.
func ServeNull(ctx context.Context, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // an error changes nothing: no more connections are accepted
	for {
		c, err := listener.Accept()
		if err != nil {
			return nil // the context has ended
		}
		go serveNull(c)
	}
}

// serveNull replies to the commands of a connection until it ends.
func serveNull(c net.Conn) {
	defer func() { _ = c.Close() }() // all replies have been written, or the client has disconnected
	reader := bufio.NewReader(c)
	for {
		words, err := ReadCommand(reader)
		if err != nil {
			return
		}
		reply := "+PONG\r\n"
		if words[0] != "PING" {
			v := value("null", words[2], 0)
			reply = fmt.Sprintf("$%d\r\n%s\r\n", len(v), v)
		}
		if _, err := c.Write([]byte(reply)); err != nil {
			return
		}
	}
}
