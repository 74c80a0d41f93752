package server

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/testscript"
)

const (
	scriptClientTimeout = 8 * time.Second
	silencePeriod       = 100 * time.Millisecond // time without input that counts as silence
	defaultTimeoutMS    = "1200"                 // timeout of requests
	maxRetryAfterMS     = 1000                   // maximum Retry-After of a busy reply
)

// encodeCommand returns the encoding of a command, an array of bulk strings.
func encodeCommand(words ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.Bytes()
}

// encodeGet returns the encoding of a request for a key. The id identifies the request; emulated nodes return it in the
// value.
func encodeGet(key, id, timeoutMS string) []byte {
	return encodeCommand("KV.GET", key, id, "c=read,t=x,d="+timeoutMS)
}

// dialUntil connects to an address and sets a deadline after the timeout. The connection is closed at the end of the test.
func dialUntil(t *testing.T, address string, timeout time.Duration) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the proxy or the test may have closed it
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readInfo requests the counters on a connection and closes it.
func readInfo(conn net.Conn) (string, error) {
	defer func() { _ = conn.Close() }() // the proxy may have closed it
	if _, err := conn.Write(encodeCommand("INFO")); err != nil {
		return "", err
	}
	_, text, err := emulator.ReadElement(bufio.NewReader(conn))
	return text, err
}

// waitForListener waits up to a second until an address accepts connections, and reports whether it does.
func waitForListener(address string) bool {
	for range startPolls {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close() // nothing was sent
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// unusedAddress returns an address that is not in use.
func unusedAddress(t *testing.T, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// scriptClient is a client of a scenario. It numbers its requests, so that each reply can be matched with its request.
type scriptClient struct {
	conn    net.Conn
	in      *bufio.Reader
	name    string
	sent    int
	replies int // number of replies received
}

// step runs one line of the scenario for this client.
func (c *scriptClient) step(words []string, options map[string]string) error {
	if err := c.conn.SetDeadline(time.Now().Add(scriptClientTimeout)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	times := max(int(testscript.ParseNumber(options["times"])), 1)
	switch words[0] {
	case "get", "set":
		return c.request(words[0], words[1], times, options)
	case "ping":
		for range times {
			c.sent++
			if err := c.write("PING"); err != nil {
				return err
			}
		}
	case "raw":
		unescape := strings.NewReplacer(`\r`, "\r", `\n`, "\n")
		_, err := io.WriteString(c.conn, unescape.Replace(strings.Join(words[1:], " ")))
		return err
	case "leaves":
		return c.conn.Close()
	case "gets":
		for range times {
			if err := c.expect(words[1], options); err != nil {
				return err
			}
		}
	default:
		return fmt.Errorf("unknown command %q", words[0])
	}
	return nil
}

// request sends requests for the given key with a number appended.
func (c *scriptClient) request(verb, key string, times int, options map[string]string) error {
	timeoutMS := options["wait"]
	if timeoutMS == "" {
		timeoutMS = defaultTimeoutMS
	}
	for i := range times {
		c.sent++
		words := []string{"KV.GET", fmt.Sprint(key, i), fmt.Sprint(c.name, c.sent), "c=read,t=x,d=" + timeoutMS}
		if verb == "set" {
			words[0], words[3] = "KV.SET", "c=put,t=x,d="+timeoutMS+",k=mark"
			words = append(words, strings.Repeat("v", int(testscript.ParseNumber(options["size"]))))
		}
		if err := c.write(words...); err != nil {
			return err
		}
	}
	return nil
}

func (c *scriptClient) write(words ...string) error {
	_, err := c.conn.Write(encodeCommand(words...))
	return err
}

// expect reads the next reply and compares its kind with the expected one.
func (c *scriptClient) expect(want string, options map[string]string) error {
	switch want {
	case "begun":
		return c.expectBegun(time.Duration(testscript.ParseNumber(options["within"])) * time.Millisecond)
	case "nothing":
		return c.expectNothing()
	}
	head, body, err := emulator.ReadElement(c.in)
	if want == "closed" {
		if err == nil {
			return fmt.Errorf("got %q, want the end of the connection", head)
		}
		return nil
	}
	if err != nil {
		return err
	}
	c.replies++
	got, err := c.classify(head, body, options["from"])
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("got %q, want %s", head, want)
	}
	return nil
}

// expectBegun waits for the first 1000 bytes of a reply without consuming them.
func (c *scriptClient) expectBegun(within time.Duration) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := c.in.Peek(1000)
	return err
}

func (c *scriptClient) expectNothing() error {
	if err := c.conn.SetReadDeadline(time.Now().Add(silencePeriod)); err != nil {
		return err
	}
	if b, err := c.in.Peek(1); err == nil || len(b) > 0 {
		return fmt.Errorf("got %q, want nothing", b)
	}
	return nil
}

// classify returns the scenario's word for a reply. A value must belong to the oldest unanswered request and, unless from is
// empty, come from that node.
func (c *scriptClient) classify(head, body, from string) (string, error) {
	switch {
	case head[0] == '$':
		node, id, _ := strings.Cut(strings.TrimRight(body, "."), ":")
		if id != fmt.Sprint(c.name, c.replies) || from != "" && from != node {
			return "", fmt.Errorf("got value %q, want that of request %s%d", body, c.name, c.replies)
		}
		return "value", nil
	case head == "+PONG":
		return "pong", nil
	case head == "-BUSY":
		return "busy-at-will", nil // without Retry-After
	case strings.HasPrefix(head, "-BUSY "):
		if n, err := strconv.Atoi(head[6:]); err != nil || n < 1 || n > maxRetryAfterMS {
			return "", fmt.Errorf("invalid Retry-After in %q", head)
		}
		return "busy", nil
	}
	return "error", nil
}
