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

// NodeMode is the way in which a node responds to commands.
type NodeMode string

// Modes of nodes. Modes apply to caches and the origin, unless the remark names one of them.
const (
	modeServe          NodeMode = ""        // respond according to capacity and cached keys
	modeHit            NodeMode = "hit"     // respond with a value for every key
	modeMiss           NodeMode = "miss"    // cache: respond with a miss
	modeAbsent         NodeMode = "absent"  // origin: respond that the key is absent
	modeBusy           NodeMode = "busy"    // reject as overloaded
	modeFails          NodeMode = "fails"   // respond with a server error
	modeSilent         NodeMode = "silent"  // no response
	modeGarbled        NodeMode = "garbled" // send a malformed response, of a form that depends on the request
	modeDisconnects    NodeMode = "cuts"    // close the connection without a response
	modeTruncates      NodeMode = "halves"  // cache: close the connection in the middle of the response
	modeHitThenClose   NodeMode = "once"    // cache: respond with a hit and close the connection
	modeDuplicates     NodeMode = "twice"   // cache: send each response twice
	modeEndless        NodeMode = "endless" // cache: send a value without its line end
	modeDelaysHalf     NodeMode = "drips"   // cache: send the second half of the value after the delay
	modeChunked        NodeMode = "chunked" // origin: respond with chunked encoding
	modeRefuses        NodeMode = "nowhere" // refuse connections
	modeServeThenClose NodeMode = "closes"  // cache: serve as usual and close the connection after each response
	modeHolds          NodeMode = "holds"   // hold commands until the mode changes, then respond in the new mode
)

// writtenValueByte is the byte that the values written by clients consist of.
const writtenValueByte = "v"

// Node is a stand-in for a cache (RESP2) or the origin (HTTP/1.1). It listens at one address per proxy, to identify the
// proxy that sent a command. Its methods may be called concurrently, except that Restart must only be called on a stopped
// node.
type Node struct {
	Name     string
	Origin   bool
	Received atomic.Int64 // number of complete commands received

	listeners []net.Listener // by proxy
	addresses []string       // by proxy
	work      *workQueue     // nil: unlimited capacity

	mu               sync.Mutex
	mode             NodeMode
	modeChanged      chan struct{}     // closed and replaced when the mode changes
	affectedFraction float64           // fraction of the commands to which the mode applies; the others are served
	delay            time.Duration     // of responses in modes other than modeServe
	valueSize        int               // bytes
	surplus          *surplusResponses // nil: none
	conns            map[net.Conn]struct{}
	stopped          bool
	cluster          *cluster
}

// NewNode starts a node that listens at one port per proxy of a loopback address. The log may be nil.
func NewNode(ip, name string, origin bool, proxies int, log *EventLog) (*Node, error) {
	n := &Node{
		Name: name, Origin: origin, conns: map[net.Conn]struct{}{}, affectedFraction: 1, modeChanged: make(chan struct{}),
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

// OpenConns returns the number of open connections.
func (n *Node) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Addr returns the address of the node for a proxy.
func (n *Node) Addr(proxy int) string { return n.addresses[proxy] }

// SetMode sets the mode for a fraction of the commands, the delay of responses and the size of values in bytes. The mode
// "nowhere" also closes the listeners.
func (n *Node) SetMode(mode NodeMode, fraction float64, delay time.Duration, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode, n.affectedFraction, n.delay, n.valueSize = mode, fraction, delay, size
	n.notifyModeChanged()
	if mode == modeRefuses {
		n.closeListeners()
	}
}

// notifyModeChanged wakes the commands that are held. It requires mu.
func (n *Node) notifyModeChanged() {
	close(n.modeChanged)
	n.modeChanged = make(chan struct{})
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close() // the listener may be closed already
	}
}

// Stop stops the node: its connections are reset and new ones are refused.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	n.notifyModeChanged() // held commands continue
	n.closeListeners()
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection has ended
		}
		_ = c.Close() // the serving goroutine may have closed it
	}
}

// Restart makes a stopped node listen at its addresses again.
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

// attach makes a node use the state of a cluster, and its connections pass over the links of the cluster's network.
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

// admit serves an accepted connection, unless it is a filler connection or the node has stopped. It reports whether the node
// accepts further connections.
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

// serve responds to the commands of a connection until it ends; raw is the connection without the simulated link.
func (n *Node) serve(raw, c net.Conn, proxy int) {
	defer func() {
		_ = c.Close() // Stop may have closed it
		n.mu.Lock()
		delete(n.conns, raw)
		n.mu.Unlock()
	}()
	respond := n.serveCommand
	if n.Origin {
		respond = n.serveFetch
	}
	reader, conn := bufio.NewReader(c), &nodeConn{Conn: c}
	for {
		if err := respond(conn, reader, proxy); err != nil {
			return
		}
		n.scheduleSurplus(conn, proxy)
	}
}

// commandMode is the way in which a node responds to one command.
type commandMode struct {
	mode  NodeMode
	delay time.Duration
	value string
	id    string // of the request
}

// nextMode counts a command and returns the mode of its response. It waits while commands are held.
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
	if n.affectedFraction < 1 && hashedFloat(id, n.Name) >= n.affectedFraction {
		mode = modeServe
	}
	return commandMode{mode: mode, delay: n.delay, value: value(n.Name, id, n.valueSize), id: id}
}

// serveCommand reads one command at a cache and responds to it. An error ends the connection.
func (n *Node) serveCommand(c *nodeConn, r *bufio.Reader, proxy int) error {
	words, err := ReadCommand(r)
	if err != nil {
		n.cluster.checkReadable(n, proxy, err)
		return err
	}
	key, id, facts := words[1], words[2], words[3]
	c.beginRequest(id)
	proxy = n.cluster.proxyFor(id, proxy)
	n.cluster.checkSent(n, proxy, id, clientCommand{words[0], key, facts, words[4]})
	n.cluster.log.Record(Event{
		Kind: AttemptReceived, RequestID: id, Proxy: proxy, Node: n.Name, Note: idempotencyKeyOf(facts), Figure: timeoutOf(facts),
	})
	command := n.nextMode(id)
	closes := command.mode == modeServeThenClose
	if command.mode == modeServe || closes {
		cached, err := n.cluster.lookUp(n, proxy, id, key)
		switch {
		case err != nil:
			command.mode = modeBusy
		case cached:
			command.mode, command.value = modeHit, value(n.Name, id, n.cluster.valueSize)
			n.cluster.recordRead(n, proxy, id)
		default:
			command.mode = modeMiss
		}
	} else if command.mode != modeDelaysHalf {
		time.Sleep(command.delay)
	}
	n.cluster.recordRefusal(n, proxy, id, command.mode)
	if err := command.writeRESP(c); err != nil || !closes {
		return err
	}
	return errConnectionEnds
}

// resetConns resets all open connections, like a network device that has lost its connection state.
func (n *Node) resetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection has ended
		}
		_ = c.Close() // the serving goroutine may have closed it
	}
}

// writeRESP writes the response of a cache. An error ends the connection.
func (m commandMode) writeRESP(w io.Writer) (err error) {
	v := m.value
	hit := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s", len(v), v, cacheDetails)
	switch m.mode {
	case modeHit:
		_, err = io.WriteString(w, hit)
	case modeHitThenClose:
		_, _ = io.WriteString(w, hit) // the connection is closed in any case
		return errConnectionEnds
	case modeDuplicates:
		_, err = io.WriteString(w, hit+hit)
	case modeMiss:
		_, err = io.WriteString(w, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
	case modeBusy:
		_, err = io.WriteString(w, "-BUSY\r\n")
	case modeFails:
		_, err = io.WriteString(w, "-ERR failed\r\n")
	case modeGarbled:
		_, err = io.WriteString(w, malformedResponse(malformedCacheResponses, m.id, v))
	case modeEndless:
		_, err = fmt.Fprintf(w, "*3\r\n$%d\r\n%s..", len(v), v)
	case modeDelaysHalf:
		if _, err = fmt.Fprintf(w, "*3\r\n$%d\r\n%s", len(v), v[:len(v)/2]); err != nil {
			return err
		}
		time.Sleep(m.delay)
		_, err = io.WriteString(w, v[len(v)/2:]+"\r\n"+cacheDetails)
	case modeTruncates:
		_, _ = fmt.Fprintf(w, "*3\r\n$%d\r\n%s", len(v), v[:len(v)/2]) // the connection is closed in any case
		return errConnectionEnds
	case modeDisconnects:
		return errConnectionEnds
	}
	return err
}

// serveFetch reads one request at the origin and responds to it. An error ends the connection.
func (n *Node) serveFetch(c *nodeConn, r *bufio.Reader, proxy int) error {
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
	c.beginRequest(id)
	fetch := originRequest{
		id: id, proxy: n.cluster.proxyFor(id, proxy), key: strings.TrimPrefix(request.URL.Path, "/"),
		idempotencyKey: idempotencyKeyOf(request.Header.Get("X-Facts")), write: request.Method == http.MethodPut,
		receivedAt: time.Now(),
	}
	if fetch.write && strings.Trim(string(body), writtenValueByte) != "" {
		return errConnectionEnds // clients never write this value
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
		n.cluster.recordRefusal(n, fetch.proxy, id, command.mode)
		return command.writeHTTP(c)
	}
	switch err := n.cluster.fetch(n, fetch); {
	case errors.Is(err, errNoSuchKey):
		command.mode = modeAbsent
	case err != nil:
		command.mode = modeBusy
	default:
		command.mode, command.value = modeHit, value(n.Name, id, n.cluster.valueSize)
		n.cluster.recordRead(n, fetch.proxy, id)
	}
	n.cluster.recordRefusal(n, fetch.proxy, id, command.mode)
	return command.writeHTTP(c)
}

// writeHTTP writes the response of the origin. An error ends the connection.
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
		_, err = io.WriteString(w, malformedResponse(malformedOriginResponses, m.id, v))
	default:
		return errConnectionEnds
	}
	return err
}
