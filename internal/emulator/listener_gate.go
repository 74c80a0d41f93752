package emulator

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Over a link that is cut no connection comes up: the kernel of a loopback address would answer for whoever listens there, so
// that a lost machine looked like a busy one. A gate that is shut has its listener's queue full, by strangers of the rig's own;
// the kernel then drops who knocks, who goes on knocking as at a machine that is gone.

// fillers is where the rig's own connections come from.
var fillerIP = net.IPv4(127, 254, 253, 252)

const defaultBacklog = 128

// gate is one listener behind a link.
type listenerGate struct {
	listener      net.Listener
	local, remote string
	shut          bool
	fillerConns   []net.Conn
}

// gates are those of all links. The lock is held for no I/O but the listeners' own settings.
type gateSet struct {
	mu  sync.Mutex
	all []*listenerGate
}

// guard has a listener be shut while its link is cut; one that was there before under these names has ended.
func (w *network) guardListener(ln net.Listener, local, remote string) {
	if w == nil {
		return
	}
	g := &listenerGate{listener: ln, local: local, remote: remote}
	w.gates.mu.Lock()
	w.gates.all = append(slices.DeleteFunc(w.gates.all, func(other *listenerGate) bool { return other.local == local && other.remote == remote }), g)
	w.gates.mu.Unlock()
	w.updateGate(g)
}

// turnAll shuts and opens gates as links are cut and heal.
func (w *network) updateGates() {
	w.gates.mu.Lock()
	all := slices.Clone(w.gates.all)
	w.gates.mu.Unlock()
	for _, g := range all {
		w.updateGate(g)
	}
}

func (w *network) updateGate(g *listenerGate) {
	severed := w.isSevered(g.local, g.remote)
	w.gates.mu.Lock()
	defer w.gates.mu.Unlock()
	if severed == g.shut {
		return
	}
	g.shut = severed
	queue := defaultBacklog
	if severed {
		queue = 0 // of which the kernel makes one
	}
	if !g.setBacklog(queue) {
		return // it has ended
	}
	for _, c := range g.fillerConns {
		c.Close()
	}
	g.fillerConns = nil
	if severed {
		go w.fillQueue(g)
	}
}

func (g *listenerGate) setBacklog(backlog int) bool {
	tcp, ok := g.listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) }) == nil
}

// crowd fills the queue: one goes to whoever waits for a connection, the next stays.
func (w *network) fillQueue(g *listenerGate) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: fillerIP}, Timeout: 100 * time.Millisecond}
	for filled, tries := 0, 0; filled < 2 && tries < 6; tries++ {
		c, err := d.Dial("tcp", g.listener.Addr().String())
		w.gates.mu.Lock()
		if !g.shut {
			w.gates.mu.Unlock()
			if err == nil {
				c.Close()
			}
			return
		}
		if err == nil {
			g.fillerConns = append(g.fillerConns, c)
			filled++
		}
		w.gates.mu.Unlock()
		if e, ok := err.(net.Error); err != nil && (!ok || !e.Timeout()) {
			return // nobody listens any more; a time-out may come of the first, not taken yet
		}
	}
}

// broken tells whether a link carries nothing in one of its directions.
func (w *network) isSevered(a, b string) bool {
	forward, _ := w.linkState(a, b)
	backward, _ := w.linkState(b, a)
	return forward.lossRate >= 1 || backward.lossRate >= 1
}

// stranger tells whether a connection is the rig's own. It returns once the link carries something again.
func (w *network) isFiller(c net.Conn, local, remote string) bool {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); w == nil || !ok || !a.IP.Equal(fillerIP) {
		return false
	}
	c.Close()
	for {
		_, changed := w.linkState(local, remote)
		if !w.isSevered(local, remote) {
			return true
		}
		<-changed
	}
}
