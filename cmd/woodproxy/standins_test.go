package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

// serverCommand is a command that a scripted server has received completely.
type serverCommand struct {
	name, key, id, facts string
	receivedAt           time.Time
}

// scriptedServer is a cache or an origin whose responses a test writes itself.
type scriptedServer struct {
	listedNode
	respond func(conn net.Conn, command serverCommand)
}

// startCache starts a cache that calls respond for each command, on the goroutine of the command's connection.
func startCache(t *testing.T, respond func(conn net.Conn, command serverCommand)) *scriptedServer {
	t.Helper()
	server := &scriptedServer{listedNode{name: "cache-a", zone: "a", kind: "std"}, respond}
	server.addr = acceptConns(t, server.serveCache)
	return server
}

// startOrigin starts an origin that calls respond for each request, on the goroutine of the request's connection.
func startOrigin(t *testing.T, respond func(conn net.Conn, command serverCommand)) *scriptedServer {
	t.Helper()
	server := &scriptedServer{listedNode{name: "origin", zone: "a", kind: "origin"}, respond}
	server.addr = acceptConns(t, server.serveOrigin)
	return server
}

// acceptConns serves connections at a new address until the test ends, and returns the address.
func acceptConns(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.10.9.2:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the proxy may have closed it
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func (s *scriptedServer) serveCache(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		words, err := readCommand(reader)
		if err != nil || len(words) < 4 {
			return
		}
		s.respond(conn, serverCommand{words[0], words[1], words[2], words[3], time.Now()})
	}
}

func (s *scriptedServer) serveOrigin(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		key := strings.TrimPrefix(request.URL.Path, "/")
		s.respond(conn, serverCommand{request.Method, key, request.Header.Get("X-Correlation-Id"), request.Header.Get("X-Facts"), time.Now()})
	}
}

// readCommand reads an array of bulk strings.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, "*")
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		length, err := readLength(reader, "$")
		if err != nil {
			return nil, err
		}
		word := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(reader, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:length])
	}
	return words, nil
}

// readLength reads a line that consists of the prefix and a number.
func readLength(reader *bufio.Reader, prefix string) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, prefix)))
}

// cacheHead returns the part of a cache's response before a value of the given length, and cacheTail the part after it.
func cacheHead(length int) string { return fmt.Sprintf("*3\r\n$%d\r\n", length) }

const (
	cacheTail = "\r\n$3\r\nhit\r\n$-1\r\n"
	cacheMiss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
)

// originHead returns the head of an origin's response with a value of the given length.
func originHead(length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
}

// writeAll writes texts to a connection. A failed write is not reported: the proxy may have closed the connection, and a
// test checks what its clients receive.
func writeAll(conn net.Conn, texts ...string) {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// clientReply is the reply to a client's request.
type clientReply struct {
	head    string // first line, without its end
	value   string // of a bulk string
	err     error
	firstAt time.Duration // from the sending of the request to the first byte of the reply
	endAt   time.Duration // from the sending of the request to the end of the reply
}

// encodeRead returns a command that reads a key; wait is the client's deadline.
func encodeRead(key, id, route string, wait time.Duration) []byte {
	facts := fmt.Sprintf("c=%s,t=x,d=%d", route, wait.Milliseconds())
	return wire.AppendCommand(nil, []byte("KV.GET"), []byte(key), []byte(id), []byte(facts), -1)
}

// testClient is a connection of a client that sends one request at a time.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dialProxy(t *testing.T, address string) *testClient {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the proxy may have closed it
	return &testClient{conn, bufio.NewReader(conn)}
}

// redial replaces the connection by a new one to the same address.
func (c *testClient) redial() error {
	conn, err := net.DialTimeout("tcp", c.RemoteAddr().String(), time.Second)
	if err != nil {
		return err
	}
	_ = c.Close() // the proxy may have closed it
	c.Conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// replyTimeout is the time for which clients of tests wait for a reply.
const replyTimeout = 15 * time.Second

// roundTrip sends a command and reads the reply.
func (c *testClient) roundTrip(command []byte) (reply clientReply) {
	began := time.Now()
	defer func() { reply.endAt = time.Since(began) }()
	if reply.err = c.SetDeadline(began.Add(replyTimeout)); reply.err != nil {
		return reply
	}
	if _, reply.err = c.Write(command); reply.err != nil {
		return reply
	}
	_, reply.err = c.reader.Peek(1)
	reply.firstAt = time.Since(began)
	if reply.err != nil {
		return reply
	}
	line, err := c.reader.ReadString('\n')
	if reply.head, reply.err = strings.TrimSpace(line), err; err != nil || line[0] != '$' || reply.head == "$-1" {
		return reply
	}
	length, err := strconv.Atoi(reply.head[1:])
	if err != nil {
		reply.err = err
		return reply
	}
	body := make([]byte, length+len("\r\n"))
	n, err := io.ReadFull(c.reader, body)
	reply.value, reply.err = string(body[:min(n, length)]), err
	return reply
}
