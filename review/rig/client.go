package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reply is what a client got for a request.
type reply struct {
	kind  string // value, null, busy, error or none
	text  string // of an error line, or of the error that ended the connection
	value []byte
	took  time.Duration
}

// clients is a pool of connections to one proxy. Each carries one request at a time.
type clients struct {
	rig     *rig
	address string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

func (c *clients) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *clients) give(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.used = true
	c.idle = append(c.idle, conn)
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

func (r *rig) newID() string { return fmt.Sprintf("%016x", r.nextID.Add(1)) }

// encode returns a command. A nil value is a read.
func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }

func encode(key, id, facts string, value []byte) []byte {
	words := [][]byte{[]byte("KV.GET"), []byte(key), []byte(id), []byte(facts)}
	if value != nil {
		words[0] = []byte("KV.SET")
		words = append(words, value)
	}
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		out = append(fmt.Appendf(out, "$%d\r\n", len(w)), w...)
		out = append(out, "\r\n"...)
	}
	return out
}

// ask sends a request and reads its answer, on a new connection once more if a resting one was closed as the request crossed. pace
// limits how fast a long value is read, in bytes a second; 0 is at once.
func (c *clients) ask(key, id, facts string, value []byte, patience time.Duration, pace int) reply {
	began := time.Now()
	for {
		conn, err := c.take()
		if err != nil {
			return reply{kind: "none", text: err.Error(), took: time.Since(began)}
		}
		used := conn.used
		got, err := exchange(conn, encode(key, id, facts, value), began.Add(patience), pace)
		got.took = time.Since(began)
		if err == nil {
			c.give(conn)
			return got
		}
		_ = conn.Close()
		if used && got.kind == "" {
			continue
		}
		got.kind, got.text = "none", err.Error()
		return got
	}
}

// exchange writes a command and reads its answer. The reply's kind is empty if nothing of an answer came.
func exchange(conn *clientConn, text []byte, until time.Time, pace int) (reply, error) {
	_ = conn.SetDeadline(until)
	if _, err := conn.Write(text); err != nil {
		return reply{}, err
	}
	line, err := conn.in.ReadString('\n')
	if err != nil {
		return reply{}, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return reply{kind: "busy", text: line}, nil
	case line == "$-1":
		return reply{kind: "null"}, nil
	case strings.HasPrefix(line, "$"):
		length, err := strconv.Atoi(line[1:])
		if err != nil {
			return reply{kind: "error", text: line}, err
		}
		value, err := readValue(conn, length, pace)
		return reply{kind: "value", value: value}, err
	}
	return reply{kind: "error", text: line}, nil
}

func readValue(conn *clientConn, length, pace int) ([]byte, error) {
	value := make([]byte, length+2)
	if pace == 0 {
		_, err := io.ReadFull(conn.in, value)
		return value[:length], err
	}
	const piece = 16 << 10
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	for at := 0; at < len(value); {
		n, err := io.ReadFull(conn.in, value[at:min(at+piece, len(value))])
		if at += n; err != nil {
			return nil, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(pace))
	}
	return value[:length], nil
}
