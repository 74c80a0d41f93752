package proxy

import (
	"bufio"
	"fmt"
	"io"
	"testing"

	"woodproxy/balancer"
)

// respValue returns a cache's response with a value.
func respValue(value string) string { return fmt.Sprintf("*1\r\n$%d\r\n%s\r\n", len(value), value) }

// readReply reads the value of a reply to a client.
func readReply(t *testing.T, reader *bufio.Reader) string {
	t.Helper()
	line, err := reader.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	var length int
	if _, err := fmt.Sscanf(line, "$%d", &length); err != nil {
		return line
	}
	value := make([]byte, length+len(crlf))
	if _, err := io.ReadFull(reader, value); err != nil {
		t.Fatal(err)
	}
	return string(value[:length])
}

// Guards against a surplus response that is taken for the response to the next request: a cache sends a second response a
// few milliseconds after the first, when the next request has already been sent.
func TestSurplusResponseIsNotTakenForTheNext(t *testing.T) {
	cache := newCache(t)
	p := newTestProxy(t, 10, func(*balancer.Settings) {}, cache, newOrigin(t))
	client := p.dial()
	reader := bufio.NewReader(client)
	send(t, client, getCommand("first", 5000))
	first := cache.next(t)
	send(t, first.conn, respValue("one"))
	if got := readReply(t, reader); got != "one" {
		t.Fatalf("got %q for the first request, want its value", got)
	}
	send(t, client, getCommand("second", 5000))
	second := cache.next(t)
	send(t, first.conn, respValue("one"))
	send(t, second.conn, respValue("two"))
	if got := readReply(t, reader); got != "two" {
		t.Errorf("got %q for the second request, want its own value", got)
	}
}
