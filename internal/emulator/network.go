package emulator

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// network simulates the links between processes, which are identified by their names. A severed link is silent, like the link to
// a lost machine: open streams stay open, and continue or are reset when the fault ends. Its methods may be called concurrently,
// and on a nil network where their comment says so.
type network struct {
	gates gateSet // its lock is acquired before mu

	mu        sync.Mutex
	faults    map[int]linkFault
	nextFault int
	changed   chan struct{} // closed and replaced when a fault begins or ends
	random    *rand.Rand
}

// linkFault describes a fault of links.
type linkFault struct {
	affects       func(from, to string) bool // reports whether a direction is affected; "" matches any name
	lossRate      float64                    // probability that a datagram is lost; at 1, streams are silent as well
	duplicateRate float64                    // probability that a datagram is duplicated
	maxDelay      time.Duration              // upper bound of random datagram delays, which reorder them; streams wait half of it
	resetStreams  bool                       // streams with waiting bytes are reset when the fault ends
}

// newNetwork returns a network without faults.
func newNetwork(seed uint64) *network {
	return &network{gates: gateSet{all: map[gateKey]*listenerGate{}}, faults: map[int]linkFault{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 21))}
}

// addFault adds a fault and returns a function that ends it.
func (n *network) addFault(fault linkFault) (end func()) {
	n.mu.Lock()
	n.nextFault++
	id := n.nextFault
	n.faults[id] = fault
	n.notifyChanged()
	n.mu.Unlock()
	n.updateGates()
	return func() {
		n.mu.Lock()
		delete(n.faults, id)
		n.notifyChanged()
		n.mu.Unlock()
		n.updateGates()
	}
}

// notifyChanged wakes the streams that wait for a link. It requires mu.
func (n *network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// linkState returns the combined faults of one direction of a link, and a channel that is closed at the next change. A nil
// network has no faults.
func (n *network) linkState(from, to string) (state linkFault, changed <-chan struct{}) {
	if n == nil {
		return linkFault{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.faults {
		if f.affects(from, to) {
			state.lossRate = max(state.lossRate, f.lossRate)
			state.duplicateRate = max(state.duplicateRate, f.duplicateRate)
			state.maxDelay = max(state.maxDelay, f.maxDelay)
			state.resetStreams = state.resetStreams || f.resetStreams
		}
	}
	return state, n.changed
}

func (n *network) randomFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

// isCutOff reports whether a fault severs any link of a process. Over a severed link, other processes can't detect that the
// process has ended.
func (n *network) isCutOff(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.faults {
		if f.lossRate >= 1 && (f.affects(name, "") || f.affects("", name)) {
			return true
		}
	}
	return false
}

var errLinkReset = errors.New("link reset after a fault")

// waitForLink waits until bytes of a stream may pass a link. It returns errLinkReset if the stream is to be reset, and
// os.ErrClosed if the stream is closed while waiting.
func (n *network) waitForLink(from, to string, closed <-chan struct{}) error {
	resetPending := false
	for {
		state, changed := n.linkState(from, to)
		if state.lossRate < 1 {
			if resetPending {
				return errLinkReset
			}
			if state.maxDelay > 0 {
				time.Sleep(state.maxDelay / 2)
			}
			return nil
		}
		resetPending = state.resetStreams
		select {
		case <-changed:
		case <-closed:
			return os.ErrClosed
		}
	}
}

// linkConn is the end of a connection over a link that belongs to a stand-in.
type linkConn struct {
	net.Conn
	network       *network
	local, remote string
	closed        chan struct{}
	closeOnce     sync.Once
}

// wrap returns a connection whose bytes pass over the link between two processes. A nil network returns the connection
// unchanged.
func (n *network) wrap(c net.Conn, local, remote string) net.Conn {
	if n == nil {
		return c
	}
	return &linkConn{Conn: c, network: n, local: local, remote: remote, closed: make(chan struct{})}
}

// Read reads from the connection and returns once the link lets the bytes pass.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if linkErr := c.network.waitForLink(c.remote, c.local, c.closed); linkErr != nil {
			return 0, linkErr
		}
	}
	return n, err
}

// Write writes to the connection once the link lets the bytes pass.
func (c *linkConn) Write(b []byte) (int, error) {
	if err := c.network.waitForLink(c.local, c.remote, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection, unless the link is severed: in that case the remote end must not detect the close, and the
// connection stays open until its stand-in stops.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if state, _ := c.network.linkState(c.local, c.remote); state.lossRate >= 1 {
		return nil
	}
	return c.Conn.Close()
}

// linkListener is a listener whose connections pass over one link.
type linkListener struct {
	net.Listener
	network       *network
	local, remote string
}

// Accept waits for the next connection and returns it wrapped by the network.
func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(c, l.local, l.remote), nil
}
