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
	silencePeriod       = 100 * time.Millisecond // after which nothing is taken to come
	defaultTimeoutMS    = "1200"                 // of requests
	maxRetryAfterMS     = 1000                   // that a busy answer may advise
)

// encodeCommand returns a command as clients send it: an array of bulk strings.
func encodeCommand(words ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.Bytes()
}

// encodeGet returns a request for a key; the id identifies the request, and the emulated nodes put it into the value.
func encodeGet(key, id, timeoutMS string) []byte {
	return encodeCommand("KV.GET", key, id, "c=read,t=x,d="+timeoutMS)
}

// dialUntil connects to an address for the time given. The connection is closed at the end of the test.
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

// readInfo asks for the counters on a connection and closes it.
func readInfo(conn net.Conn) (string, error) {
	defer func() { _ = conn.Close() }() // the proxy may have closed it
	if _, err := conn.Write(encodeCommand("INFO")); err != nil {
		return "", err
	}
	_, text, err := emulator.ReadElement(bufio.NewReader(conn))
	return text, err
}

// waitForListener waits until an address accepts connections and tells whether it does.
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

// unusedAddress returns an address where nobody listens.
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

// scriptClient is a client of a script. It numbers its requests, so that each answer can be told to be that of its
// request.
type scriptClient struct {
	conn    net.Conn
	in      *bufio.Reader
	name    string
	sent    int
	answers int // received so far
}

// step plays one line.
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
		return fmt.Errorf("unknown word %q", words[0])
	}
	return nil
}

// request sends requests for keys that begin with the key given.
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

// expect reads what comes next and compares it with what is wanted.
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
			return fmt.Errorf("came %q", head)
		}
		return nil
	}
	if err != nil {
		return err
	}
	c.answers++
	got, err := c.classify(head, body, options["from"])
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("came %q, not %s", head, want)
	}
	return nil
}

// expectBegun waits for the begin of an answer, which is left to be read.
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
		return fmt.Errorf("something came: %q", b)
	}
	return nil
}

// classify returns the script's word for an answer. A value has to be that of the request whose turn it is, and be made
// by the node from, where one is named.
func (c *scriptClient) classify(head, body, from string) (string, error) {
	switch {
	case head[0] == '$':
		node, id, _ := strings.Cut(strings.TrimRight(body, "."), ":")
		if id != fmt.Sprint(c.name, c.answers) || from != "" && from != node {
			return "", fmt.Errorf("a value of %q, not for %s%d", body, c.name, c.answers)
		}
		return "value", nil
	case head == "+PONG":
		return "pong", nil
	case head == "-BUSY":
		return "busy-at-will", nil // without advice on when to come back
	case strings.HasPrefix(head, "-BUSY "):
		if n, err := strconv.Atoi(head[6:]); err != nil || n < 1 || n > maxRetryAfterMS {
			return "", fmt.Errorf("odd advice %q", head)
		}
		return "busy", nil
	}
	return "error", nil
}
