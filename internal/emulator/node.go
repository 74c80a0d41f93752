package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// NodeMode is how a node answers commands.
type NodeMode string

// Modes of nodes. Those without a remark are for caches and the origin.
const (
	modeServe   NodeMode = ""        // by its capacity and the keys that it has
	modeHit     NodeMode = "hit"     // a value, whatever the key
	modeMiss    NodeMode = "miss"    // a cache: a miss
	modeAbsent  NodeMode = "absent"  // the origin: there is no such key
	modeBusy    NodeMode = "busy"    // rejected as overloaded
	modeFails   NodeMode = "fails"   // a server error
	modeSilent  NodeMode = "silent"  // no answer
	modeGarbled NodeMode = "garbled" // a malformed answer
	modeCuts    NodeMode = "cuts"    // the connection is closed without an answer
	modeHalves  NodeMode = "halves"  // a cache: the connection is closed in the middle of the answer
	modeOnce    NodeMode = "once"    // a cache: the connection is closed after each answer
	modeTwice   NodeMode = "twice"   // a cache: each command is answered twice
	modeEndless NodeMode = "endless" // a cache: a value without its line end
	modeDrips   NodeMode = "drips"   // a cache: the second half of the answer comes after the delay
	modeChunked NodeMode = "chunked" // the origin: an answer in chunks
	modeNowhere NodeMode = "nowhere" // connections are refused
	modeCloses  NodeMode = "closes"  // a cache: served as usual, and the connection is closed after each answer
	modeHolds   NodeMode = "holds"   // no answer until the mode changes, and then as the new mode says
)

// writtenValueByte is the only byte of the values that clients write.
const writtenValueByte = "v"

// Node is a stand-in for a cache (RESP2) or the origin (HTTP/1.1). It has an address for each proxy, so that it is known which
// proxy sent a command. Its methods may be called concurrently, Restart only on a stopped node.
type Node struct {
	Name     string
	Origin   bool
	Received atomic.Int64 // commands that were received whole

	listeners []net.Listener // by proxy
	addresses []string       // by proxy
	work      *workQueue     // nil: unlimited capacity

	mu           sync.Mutex
	mode         NodeMode
	modeChanged  chan struct{} // closed when the mode changes
	affectedPart float64       // of the commands that the mode holds for; the others are served
	delay        time.Duration
	valueSize    int // bytes
	conns        map[net.Conn]struct{}
	stopped      bool
	cluster      *cluster
}

// NewNode starts a node with an address for each proxy at a loopback address; the log may be nil.
func NewNode(ip, name string, origin bool, proxies int, log *EventLog) (*Node, error) {
	n := &Node{
		Name: name, Origin: origin, conns: map[net.Conn]struct{}{}, affectedPart: 1, modeChanged: make(chan struct{}),
		cluster: &cluster{log: log},
	}
	for range proxies {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			n.Stop()
			return nil, err
		}
		n.listeners, n.addresses = append(n.listeners, listener), append(n.addresses, listener.Addr().String())
	}
	n.acceptAll()
	return n, nil
}

// OpenConns returns how many connections are open.
func (n *Node) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Addr returns the node's address for a proxy.
func (n *Node) Addr(proxy int) string { return n.addresses[proxy] }

// SetMode changes the mode for a part of the commands, with the mode's delay and size of values in bytes.
func (n *Node) SetMode(mode NodeMode, part float64, delay time.Duration, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode, n.affectedPart, n.delay, n.valueSize = mode, part, delay, size
	n.notifyModeChanged()
	if mode == modeNowhere {
		n.closeListeners()
	}
}

func (n *Node) notifyModeChanged() {
	close(n.modeChanged)
	n.modeChanged = make(chan struct{})
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close() // it may be closed already
	}
}

// Stop ends the node: connections are reset and new ones refused.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	n.notifyModeChanged() // commands that are held go on
	n.closeListeners()
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a connection that has ended
		}
		_ = c.Close() // its own goroutine may have closed it
	}
}

// Restart has a stopped node listen at its addresses again.
func (n *Node) Restart() error {
	for i, address := range n.addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		n.listeners[i] = listener
	}
	n.mu.Lock()
	n.stopped = false
	n.mu.Unlock()
	n.acceptAll()
	n.attach(n.cluster)
	return nil
}

// attach has a node share the state of a cluster, and its connections pass over that one's links.
func (n *Node) attach(c *cluster) {
	n.mu.Lock()
	n.cluster = c
	n.mu.Unlock()
	for proxy, listener := range n.listeners {
		c.network.guardListener(listener, n.Name, proxyName(proxy))
	}
}

// acceptAll accepts connections at all addresses until the listeners are closed.
func (n *Node) acceptAll() {
	for proxy, listener := range n.listeners {
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil || !n.admit(c, proxy) {
					return
				}
			}
		}()
	}
}

// admit serves a connection, and reports whether the node accepts further ones.
func (n *Node) admit(c net.Conn, proxy int) bool {
	n.mu.Lock()
	links := n.cluster.network
	n.mu.Unlock()
	if links.isFiller(c, n.Name, proxyName(proxy)) {
		return true
	}
	n.cluster.connections.Add(1)
	n.mu.Lock()
	stopped := n.stopped
	if !stopped {
		n.conns[c] = struct{}{}
	}
	n.mu.Unlock()
	if stopped {
		_ = c.Close() // nothing was sent on it
		return false
	}
	go n.serve(c, links.wrap(c, n.Name, proxyName(proxy)), proxy)
	return true
}

// serve answers commands on a connection, of which raw is the socket beneath the link, until it ends.
func (n *Node) serve(raw, c net.Conn, proxy int) {
	defer func() {
		_ = c.Close() // Stop may have closed it
		n.mu.Lock()
		delete(n.conns, raw)
		n.mu.Unlock()
	}()
	answer := n.serveCommand
	if n.Origin {
		answer = n.serveFetch
	}
	reader := bufio.NewReader(c)
	for {
		if err := answer(c, reader, proxy); err != nil {
			return
		}
	}
}

// commandMode is how one command is answered.
type commandMode struct {
	mode  NodeMode
	delay time.Duration
	value string
}

// nextMode counts a command and returns how it is answered; it returns once the command is no longer held.
func (n *Node) nextMode(id string) commandMode {
	n.Received.Add(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.mode == modeHolds && !n.stopped {
		changed := n.modeChanged
		n.mu.Unlock()
		<-changed
		n.mu.Lock()
	}
	mode := n.mode
	if n.affectedPart < 1 && hashedFloat(id, n.Name) >= n.affectedPart {
		mode = modeServe
	}
	return commandMode{mode: mode, delay: n.delay, value: value(n.Name, id, n.valueSize)}
}

// serveCommand answers one command at a cache.
func (n *Node) serveCommand(c net.Conn, r *bufio.Reader, proxy int) error {
	words, err := ReadCommand(r)
	if err != nil {
		n.cluster.checkReadable(n, proxy, err)
		return err
	}
	key, id, facts := words[1], words[2], words[3]
	proxy = n.cluster.proxyFor(id, proxy)
	n.cluster.checkSent(n, proxy, id, clientCommand{words[0], key, facts, words[4]})
	n.cluster.log.Record(Event{
		Kind: AttemptReceived, RequestID: id, Proxy: proxy, Node: n.Name, Note: idempotencyKeyOf(facts), Figure: timeoutOf(facts),
	})
	command := n.nextMode(id)
	closes := command.mode == modeCloses
	if command.mode == modeServe || closes {
		cached, err := n.cluster.lookUp(n, proxy, id, key)
		switch {
		case err != nil:
			command.mode = modeBusy
		case cached:
			command.mode, command.value = modeHit, value(n.Name, id, n.cluster.valueSize)
		default:
			command.mode = modeMiss
		}
	} else if command.mode != modeDrips {
		time.Sleep(command.delay)
	}
	if err := command.writeRESP(c); err != nil || !closes {
		return err
	}
	return errConnectionEnds
}

// resetConns resets all open connections, as a network does that has forgotten them.
func (n *Node) resetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a connection that has ended
		}
		_ = c.Close() // its own goroutine may have closed it
	}
}

// writeRESP writes a cache's answer; an error ends the connection.
func (m commandMode) writeRESP(w io.Writer) (err error) {
	v := m.value
	hit := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(v), v)
	switch m.mode {
	case modeHit:
		_, err = io.WriteString(w, hit)
	case modeOnce:
		_, _ = io.WriteString(w, hit) // the connection ends in any case
		return errConnectionEnds
	case modeTwice:
		_, err = io.WriteString(w, hit+hit)
	case modeMiss:
		_, err = io.WriteString(w, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
	case modeBusy:
		_, err = io.WriteString(w, "-BUSY\r\n")
	case modeFails:
		_, err = io.WriteString(w, "-ERR failed\r\n")
	case modeGarbled:
		_, err = io.WriteString(w, "?!\r\n")
	case modeEndless:
		_, err = fmt.Fprintf(w, "*1\r\n$%d\r\n%s..", len(v), v)
	case modeDrips:
		if _, err = fmt.Fprintf(w, "*1\r\n$%d\r\n%s", len(v), v[:len(v)/2]); err != nil {
			return err
		}
		time.Sleep(m.delay)
		_, err = io.WriteString(w, v[len(v)/2:]+"\r\n")
	case modeHalves:
		_, _ = fmt.Fprintf(w, "*3\r\n$%d\r\n%s", len(v), v[:len(v)/2]) // the connection ends in any case
		return errConnectionEnds
	case modeCuts:
		return errConnectionEnds
	}
	return err
}

// serveFetch answers one request at the origin.
func (n *Node) serveFetch(c net.Conn, r *bufio.Reader, proxy int) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		n.cluster.checkReadable(n, proxy, err)
		return err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	id := request.Header.Get("X-Correlation-Id")
	fetch := originRequest{
		id: id, proxy: n.cluster.proxyFor(id, proxy), key: strings.TrimPrefix(request.URL.Path, "/"),
		idempotencyKey: idempotencyKeyOf(request.Header.Get("X-Facts")), write: request.Method == http.MethodPut,
		receivedAt: time.Now(),
	}
	if fetch.write && strings.Trim(string(body), writtenValueByte) != "" {
		return errConnectionEnds // the value is not what clients write
	}
	received := clientCommand{commandRead, fetch.key, request.Header.Get("X-Facts"), string(body)}
	if fetch.write {
		received.name = commandWrite
	}
	n.cluster.checkSent(n, fetch.proxy, id, received)
	n.cluster.log.Record(Event{
		Kind: AttemptReceived, RequestID: id, Proxy: fetch.proxy, Node: n.Name, Note: fetch.idempotencyKey,
		Figure: timeoutOf(request.Header.Get("X-Facts")),
	})
	command := n.nextMode(id)
	if command.mode != modeServe {
		time.Sleep(command.delay)
		return command.writeHTTP(c)
	}
	switch err := n.cluster.fetch(n, fetch); {
	case errors.Is(err, errNoSuchKey):
		command.mode = modeAbsent
	case err != nil:
		command.mode = modeBusy
	default:
		command.mode, command.value = modeHit, value(n.Name, id, n.cluster.valueSize)
	}
	return command.writeHTTP(c)
}

// writeHTTP writes the origin's answer; an error ends the connection.
func (m commandMode) writeHTTP(w io.Writer) (err error) {
	v := m.value
	switch m.mode {
	case modeHit:
		_, err = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(v), v)
	case modeAbsent:
		_, err = io.WriteString(w, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case modeChunked:
		_, err = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", v[:2], len(v)-2, v[2:])
	case modeBusy:
		_, err = io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	case modeFails:
		_, err = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case modeSilent:
	case modeGarbled:
		_, _ = io.WriteString(w, "SMTP 1\r\n\r\n") // the connection ends in any case
		return errConnectionEnds
	default:
		return errConnectionEnds
	}
	return err
}
