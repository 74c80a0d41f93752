package proxy

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"
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

// Guards against a streamed value that is completed before the rest of its response is read: where the announced length is too
// small and the value has a line end there, the client got the truncated value as a complete one.
func TestStreamedValueIsCompletedByItsResponse(t *testing.T) {
	const length = 2 * wire.MaxBufferedValue
	value := strings.Repeat("v", length)
	for _, test := range []struct {
		name, behind string // what follows the value and its line end
		complete     bool
	}{
		{"complete response", respDetails, true},
		{"load report that cannot be read", "$3\r\nhit\r\n+?\r\n", true},
		{"rest of a longer value", "vvvv\r\n" + respDetails, false},
		{"noise", "\x07~\x07~\r\n$-1\r\n", false},
		{"line that does not end", strings.Repeat("~", 1<<14), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			cache := newCache(t)
			p := newTestProxy(t, 10, defaultSettings, cache, newOrigin(t))
			client := p.dial()
			send(t, client, getCommand("long", 5000))
			send(t, cache.next(t).conn, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s", length, value, test.behind))
			want := fmt.Sprintf("$%d\r\n%s\r\n", length, value)
			got := make([]byte, len(want))
			n, err := io.ReadFull(client, got)
			if complete := n == len(want); complete != test.complete {
				t.Errorf("got %d of %d bytes, error %v, want complete %v", n, len(want), err, test.complete)
			}
		})
	}
}
