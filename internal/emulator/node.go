package emulator

import (
	"bufio"
	"net"
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
	modeLateValue      NodeMode = "late"    // cache: send the head of a long value, and the value after the delay
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
