package emulator

import (
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// No connection may be established over a severed link. On loopback the kernel would complete connections until the
// listener's backlog is full, and a lost machine would look like a busy one. While the link is severed, the gate of a
// listener therefore fills its backlog with connections of the emulator. The kernel then drops connection requests, and the
// sender retransmits them as it does when the remote machine is lost.

// fillerIP is the source address of connections that fill backlogs. It distinguishes them from others.
var fillerIP = net.IPv4(127, 254, 253, 252)

// defaultBacklog is the backlog of a listener whose link is not severed.
const defaultBacklog = 128

const (
	fillersNeeded     = 2 // a pending Accept takes one, the other stays in the backlog
	fillerAttempts    = 6
	fillerDialTimeout = 100 * time.Millisecond
)

// listenerGate shuts and opens one listener, depending on the state of its link.
type listenerGate struct {
	listener      net.Listener
	local, remote string
	shut          bool
	fillerConns   []net.Conn
}

// gateSet holds the gates of all links. mu is not held during network I/O.
type gateSet struct {
	mu  sync.Mutex
	all map[gateKey]*listenerGate
}

// gateKey holds the names of the processes at both ends of a listener's link.
type gateKey struct{ local, remote string }

// guardListener adds a gate that shuts a listener while its link is severed. It replaces an earlier gate between the same
// processes.
func (n *network) guardListener(ln net.Listener, local, remote string) {
	if n == nil {
		return
	}
	g := &listenerGate{listener: ln, local: local, remote: remote}
	n.gates.mu.Lock()
	n.gates.all[gateKey{local, remote}] = g
	n.gates.mu.Unlock()
	n.updateGate(g)
}

// updateGates shuts the gates of severed links and opens the others.
func (n *network) updateGates() {
	n.gates.mu.Lock()
	all := slices.Collect(maps.Values(n.gates.all))
	n.gates.mu.Unlock()
	for _, g := range all {
		n.updateGate(g)
	}
}

func (n *network) updateGate(g *listenerGate) {
	severed := n.isSevered(g.local, g.remote)
	n.gates.mu.Lock()
	defer n.gates.mu.Unlock()
	if severed == g.shut {
		return
	}
	g.shut = severed
	backlog := defaultBacklog
	if severed {
		backlog = 0 // the kernel rounds this up to one
	}
	if !g.setBacklog(backlog) {
		return // the listener is closed
	}
	for _, c := range g.fillerConns {
		_ = c.Close() // no data was sent on it
	}
	g.fillerConns = nil
	if severed {
		go n.fillQueue(g) // returns after at most fillerAttempts dial timeouts
	}
}

// setBacklog sets the backlog of the listener. It reports false if the listener is closed or not a TCP listener.
func (g *listenerGate) setBacklog(backlog int) bool {
	tcp, ok := g.listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) {
		_ = syscall.Listen(int(fd), backlog) // cannot fail on a listening socket
	}) == nil
}

// fillQueue fills the backlog of a shut gate. It returns early once the gate opens or the listener is closed.
func (n *network) fillQueue(g *listenerGate) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: fillerIP}, Timeout: fillerDialTimeout}
	for filled, attempts := 0, 0; filled < fillersNeeded && attempts < fillerAttempts; attempts++ {
		c, err := dialer.Dial("tcp", g.listener.Addr().String())
		n.gates.mu.Lock()
		if !g.shut {
			n.gates.mu.Unlock()
			if err == nil {
				_ = c.Close() // no data was sent on it
			}
			return
		}
		if err == nil {
			g.fillerConns = append(g.fillerConns, c)
			filled++
		}
		n.gates.mu.Unlock()
		if netErr := net.Error(nil); err != nil && (!errors.As(err, &netErr) || !netErr.Timeout()) {
			return // the listener is closed; a timeout may occur before the first filler is accepted, and is retried
		}
	}
}

// isSevered reports whether a link loses everything in at least one direction.
func (n *network) isSevered(a, b string) bool {
	forward, _ := n.linkState(a, b)
	backward, _ := n.linkState(b, a)
	return forward.lossRate >= 1 || backward.lossRate >= 1
}

// isFiller reports whether an accepted connection is a filler of a gate. It closes a filler and then blocks until the link
// is no longer severed, so that the caller accepts no other connection until then.
func (n *network) isFiller(c net.Conn, local, remote string) bool {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); n == nil || !ok || !a.IP.Equal(fillerIP) {
		return false
	}
	_ = c.Close() // no data was sent on it
	for {
		_, changed := n.linkState(local, remote)
		if !n.isSevered(local, remote) {
			return true
		}
		<-changed
	}
}
