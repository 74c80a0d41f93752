package proxy

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against the reply to an empty value without its line end, whose client takes the next reply's bytes for it: while the
// values in memory exceed their budget, an empty value needs no memory and is not streamed. The shortest values are.
func TestShortestValuesAreWholeWhileMemoryIsOverdrawn(t *testing.T) {
	type test struct {
		name, command, value string
		respond              func(t *testing.T, cache, origin *fakeNode)
	}
	var tests []test
	for length := range 3 {
		value := strings.Repeat("v", length)
		fromOrigin := func(t *testing.T, _, origin *fakeNode) { send(t, origin.next(t).conn, originValue(value)) }
		tests = append(tests,
			test{"read from a cache", getCommand("id1", longWaitMS), value, func(t *testing.T, cache, _ *fakeNode) {
				send(t, cache.next(t).conn, respValue(value))
			}},
			test{"read from the origin", getCommand("id1", longWaitMS), value, func(t *testing.T, cache, origin *fakeNode) {
				send(t, cache.next(t).conn, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
				fromOrigin(t, cache, origin)
			}},
			test{"write", setCommand("id1", longPut, "value"), value, fromOrigin},
			test{"write of an empty value", setCommand("id1", longPut, ""), value, fromOrigin},
		)
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s, %d bytes", test.name, len(test.value)), func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			p := newTestProxy(t, 10, defaultSettings, cache, origin)
			client := p.dial()
			send(t, client, test.command)
			p.eventually("the command is not in flight", func() bool { return p.router.counters.Tries.Load() == 1 })
			overdrawn := int(p.router.valueMemory.available.Load()) + 1
			p.router.valueMemory.acquire(overdrawn)
			test.respond(t, cache, origin)
			expectReply(t, client, fmt.Sprintf("$%d\r\n%s\r\n", len(test.value), test.value))
			p.router.valueMemory.release(overdrawn)
			send(t, client, getCommand("id2", longWaitMS))
			cache.next(t).sendValue(t)
			expectReply(t, client, "$5\r\nvalue\r\n")
			p.eventually("memory is still counted", func() bool { return p.router.counters.Bytes.Load() == 0 })
		})
	}
}
