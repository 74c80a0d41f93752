package proxy

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
)

// malformedValues are responses of a cache that have something else than a bulk string in the place of the value.
var malformedValues = []struct{ name, response string }{
	{"simple string", "*3\r\n+" + strings.Repeat("\x07~", 20) + "\r\n$3\r\nhit\r\n$-1\r\n"},
	{"integer", "*3\r\n:5\r\n$3\r\nhit\r\n$-1\r\n"},
	{"empty simple string", "*3\r\n+\r\n$3\r\nhit\r\n$-1\r\n"},
}

// Guards against an empty value that no server sent: a cache's response with a simple string or an integer in the place of
// the value was served as an empty value, on a new connection and on a used one.
func TestMalformedValueIsNotServed(t *testing.T) {
	for _, test := range malformedValues {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, connection used %v", test.name, used), func(t *testing.T) {
				checkNotServed(t, test.response, used)
			})
		}
	}
}

// checkNotServed has a cache send a malformed response to a request that must not run twice, on a connection that has carried
// another request if used is set. It checks that the client gets an error and neither a value nor a rejection, that the
// connection is counted as closed on bad input and that the memory held for values is released exactly.
func checkNotServed(t *testing.T, response string, used bool) {
	t.Helper()
	cache := newCache(t)
	unsafeReads := func(settings *balancer.Settings) { settings.Routes[0].Effect = balancer.NonRetriable }
	p := newTestProxy(t, 10, unsafeReads, cache, newOrigin(t))
	client := p.dial()
	reader := bufio.NewReader(client)
	if used {
		send(t, client, getCommand("first", 5000))
		cache.next(t).sendValue(t)
		readReply(t, reader)
		time.Sleep(lifecycle.ResponseRest)
	}
	send(t, client, getCommand("malformed", 5000))
	send(t, cache.next(t).conn, response)
	if reply := readReply(t, reader); reply != string(upstreamErrorReply) {
		t.Errorf("got reply %q, want an error", reply)
	}
	if badInput := p.router.counters.BadPeer.Load(); badInput != 1 {
		t.Errorf("%d connections are counted as closed on bad input, want 1", badInput)
	}
	p.eventually("the memory held for values is not 0 after all replies", func() bool {
		return p.router.counters.Bytes.Load() == 0
	})
}
