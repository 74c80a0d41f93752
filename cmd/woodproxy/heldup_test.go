package main_test

import (
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A client that leaves while the proxy's process is held up has gone: the requests that wait for the proxy, on a connection
// that it has accepted or on a new one, must not be forwarded when it goes on.
func TestRequestsOfClientThatLeftHeldUpProxyAreNotForwarded(t *testing.T) {
	const heldUp = 400 * time.Millisecond
	program := filepath.Join(buildPrograms(t), "woodproxy")
	received := &receivedCommands{}
	cache := startCache(t, func(conn net.Conn, command serverCommand) {
		received.record(command)
		writeAll(conn, cacheHead(5), "value", cacheTail)
	})
	origin := startOrigin(t, func(conn net.Conn, command serverCommand) {
		received.record(command)
		writeAll(conn, originHead(5), "value")
	})
	p := startConfiguredProxy(t, program, unsafeConfig(cache, origin), noFeatures)
	p.awaitReady(t)
	for name, requests := range map[string]int{"one": 1, "ten": 10, "many": 300} {
		for _, accepted := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " accepted ", accepted), func(t *testing.T) {
				var commands []byte
				for i := range requests {
					commands = append(commands, encodeRead(fmt.Sprint("k", i), fmt.Sprint(t.Name(), i), "read", readTimeout)...)
				}
				var client *testClient
				if accepted {
					client = dialProxy(t, p.clients)
					if reply := client.roundTrip([]byte("*1\r\n$4\r\nPING\r\n")); reply.head != "+PONG" {
						t.Fatal(reply)
					}
				}
				p.signal(t, syscall.SIGSTOP, 1)
				defer p.signal(t, syscall.SIGCONT, 1)
				if !accepted {
					client = dialProxy(t, p.clients)
				}
				if _, err := client.Write(commands); err != nil {
					t.Fatal(err)
				}
				_ = client.Close()
				closedAt := time.Now()
				time.Sleep(heldUp)
				p.signal(t, syscall.SIGCONT, 1)
				time.Sleep(200 * time.Millisecond)
				if late := received.after(closedAt.Add(departedGrace)); len(late) > 0 {
					t.Errorf("%d requests were forwarded, the first one %v after their client had left", len(late), late[0].receivedAt.Sub(closedAt))
				}
			})
		}
	}
}
