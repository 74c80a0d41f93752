package emulator

import (
	"bufio"
	"context"
	"fmt"
	"net"
)

// Null stands in for a proxy: it answers every request at once, from nowhere.
func Null(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		c, err := ln.Accept()
		if err != nil {
			return nil // told to end
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				words, err := ReadCommand(r)
				if err != nil {
					return
				}
				text := "+PONG\r\n"
				if words[0] != "PING" {
					v := value("null", words[2], 0)
					text = fmt.Sprintf("$%d\r\n%s\r\n", len(v), v)
				}
				if _, err := c.Write([]byte(text)); err != nil {
					return
				}
			}
		}()
	}
}
