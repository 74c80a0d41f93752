package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lockedRandom is a random source for several goroutines.
type lockedRandom struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (l *lockedRandom) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Float64()
}

// command is a client's command as a node gets it.
type command struct {
	name, key, id, facts string
	value                []byte
	isWrite              bool
}

// answer is what a node does with a command: it writes the parts, and closes the connection if close is set.
type answer struct {
	parts [][]byte
	close bool
}

// node is a stand-in of a cache node or of the origin.
type node struct {
	rig      *rig
	name     string
	kind     string
	zone     string
	listener net.Listener
	isOrigin bool
	handle   func(n *node, c *command) answer

	mu    sync.Mutex
	kept  map[string]bool // keys whose copies the cache keeps
	taken int             // commands taken
}

// startNode starts a node that answers by handle.
func (r *rig) startNode(name, kind string, handle func(n *node, c *command) answer) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{rig: r, name: name, kind: kind, zone: "dakar", listener: listener, isOrigin: kind == "origin", handle: handle, kept: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	r.note("node %s (%s) at %s", name, kind, listener.Addr())
	return n, nil
}

func (n *node) entry(status string) map[string]any {
	return map[string]any{
		"name": n.name, "address": n.listener.Addr().String(), "zone": n.zone, "type": n.kind, "group": 1, "status": status,
		"weight": 1.0, "since_ms": 0,
	}
}

func (n *node) keeps(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kept[key]
}

func (n *node) keep(key string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kept[key] = on
}

// serve answers the commands of a connection in order.
func (n *node) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		c, err := n.read(in, conn)
		if err != nil {
			return
		}
		if c == nil {
			continue
		}
		n.mu.Lock()
		n.taken++
		n.mu.Unlock()
		n.rig.note("node %s: took %s %s %s %s", n.name, c.name, c.key, c.id, c.facts)
		a := n.handle(n, c)
		for _, part := range a.parts {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
		if a.close {
			return
		}
	}
}

// read reads the next command. It returns nil for one that was answered here.
func (n *node) read(in *bufio.Reader, conn net.Conn) (*command, error) {
	if n.isOrigin {
		return readHTTP(in)
	}
	words, err := readCommand(in)
	if err != nil {
		return nil, err
	}
	switch strings.ToUpper(string(words[0])) {
	case "KV.GET":
		if len(words) == 4 {
			return &command{name: "KV.GET", key: string(words[1]), id: string(words[2]), facts: string(words[3])}, nil
		}
	case "KV.SET":
		if len(words) == 5 {
			return &command{name: "KV.SET", key: string(words[1]), id: string(words[2]), facts: string(words[3]), value: words[4], isWrite: true}, nil
		}
	case "PING":
		_, err = io.WriteString(conn, "+PONG\r\n")
		return nil, err
	}
	_, err = io.WriteString(conn, "-SYNTAX\r\n")
	return nil, err
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([][]byte, error) {
	count, err := readNumber(in, '*')
	if err != nil || count < 1 {
		return nil, fmt.Errorf("no command: %w", err)
	}
	words := make([][]byte, count)
	for i := range words {
		length, err := readNumber(in, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, length+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words[i] = word[:length]
	}
	return words, nil
}

func readNumber(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q: no %c", line, kind)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// readHTTP reads a request to the origin.
func readHTTP(in *bufio.Reader) (*command, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return nil, fmt.Errorf("%q: no request", line)
	}
	c := &command{name: fields[0], key: strings.TrimPrefix(fields[1], "/"), isWrite: fields[0] == "PUT"}
	length := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		name, value, ok := strings.Cut(strings.TrimSpace(line), ":")
		if !ok {
			break
		}
		switch value = strings.TrimSpace(value); strings.ToLower(name) {
		case "x-correlation-id":
			c.id = value
		case "x-facts":
			c.facts = value
		case "content-length":
			length, _ = strconv.Atoi(value)
		}
	}
	c.value = make([]byte, length)
	_, err = io.ReadFull(in, c.value)
	return c, err
}

// served is a cache's answer with a value.
func served(value []byte) answer {
	head := fmt.Sprintf("*3\r\n$%d\r\n", len(value))
	return answer{parts: [][]byte{append(append([]byte(head), value...), "\r\n$3\r\nhit\r\n$-1\r\n"...)}}
}

// missed is a cache's answer without one.
func missed() answer { return answer{parts: [][]byte{[]byte("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")}} }

// httpOK is the origin's answer with a value, whose length it tells.
func httpOK(value []byte) answer { return httpOKWithLength(value, len(value)) }

func httpOKWithLength(value []byte, length int) answer {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n", length)
	return answer{parts: [][]byte{append([]byte(head), value...)}}
}

// fleet is the caches and the origin, and which caches missed for which request.
type fleet struct {
	rig    *rig
	caches []*node
	origin *node

	mu    sync.Mutex
	lacks map[string][]*node // by request's id
}

// noteMiss records that a cache missed for a request.
func (f *fleet) noteMiss(n *node, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lacks[id] = append(f.lacks[id], n)
}

// store has the value stored at the caches that missed for the request, once the origin has answered.
func (f *fleet) store(c *command) {
	f.mu.Lock()
	missed := f.lacks[c.id]
	delete(f.lacks, c.id)
	f.mu.Unlock()
	for _, n := range missed {
		n.keep(c.key, true)
	}
}

// drop has the copies of a key dropped after a write.
func (f *fleet) drop(key string) {
	for _, n := range f.caches {
		n.keep(key, false)
	}
}

func (f *fleet) entries() []any {
	var all []any
	for _, n := range f.caches {
		all = append(all, n.entry("active"))
	}
	return append(all, f.origin.entry("active"))
}

// discovery is a stand-in of the agent of discovery.
type discovery struct {
	rig      *rig
	listener net.Listener
	delay    func() time.Duration // before the first byte of an answer

	mu      sync.Mutex
	index   int
	entries []any
	changed chan struct{} // closed at the next change
	changes []change
	watches int
}

type change struct {
	index   int
	entries []any
}

func (r *rig) startDiscovery(entries []any, delay func() time.Duration) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rig: r, listener: listener, delay: delay, index: 41, entries: entries, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	r.note("discovery at %s", listener.Addr())
	return d, nil
}

// startFleet starts caches and the origin.
func (r *rig) startFleet(caches int, cache, origin func(f *fleet, n *node, c *command) answer) (f *fleet, err error) {
	f = &fleet{rig: r, lacks: map[string][]*node{}}
	for i := range caches {
		n, err := r.startNode(fmt.Sprintf("s-%d", i+1), "std-2c", func(n *node, c *command) answer { return cache(f, n, c) })
		if err != nil {
			return nil, err
		}
		f.caches = append(f.caches, n)
	}
	f.origin, err = r.startNode("ledger", "origin", func(n *node, c *command) answer { return origin(f, n, c) })
	return f, err
}
