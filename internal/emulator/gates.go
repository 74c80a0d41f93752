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
var fillers = net.IPv4(127, 254, 253, 252)

const usualQueue = 128

// gate is one listener behind a link.
type gate struct {
	ln          net.Listener
	here, there string
	shut        bool
	fill        []net.Conn
}

// gates are those of all links. The lock is held for no I/O but the listeners' own settings.
type gates struct {
	mu  sync.Mutex
	all []*gate
}

// guard has a listener be shut while its link is cut; one that was there before under these names has ended.
func (w *Ways) guard(ln net.Listener, here, there string) {
	if w == nil {
		return
	}
	g := &gate{ln: ln, here: here, there: there}
	w.gates.mu.Lock()
	w.gates.all = append(slices.DeleteFunc(w.gates.all, func(o *gate) bool { return o.here == here && o.there == there }), g)
	w.gates.mu.Unlock()
	w.turn(g)
}

// turnAll shuts and opens gates as links are cut and heal.
func (w *Ways) turnAll() {
	w.gates.mu.Lock()
	all := slices.Clone(w.gates.all)
	w.gates.mu.Unlock()
	for _, g := range all {
		w.turn(g)
	}
}

func (w *Ways) turn(g *gate) {
	cut := w.broken(g.here, g.there)
	w.gates.mu.Lock()
	defer w.gates.mu.Unlock()
	if cut == g.shut {
		return
	}
	g.shut = cut
	queue := usualQueue
	if cut {
		queue = 0 // of which the kernel makes one
	}
	if !g.queue(queue) {
		return // it has ended
	}
	for _, c := range g.fill {
		c.Close()
	}
	g.fill = nil
	if cut {
		go w.crowd(g)
	}
}

func (g *gate) queue(long int) bool {
	tcp, ok := g.ln.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { syscall.Listen(int(fd), long) }) == nil
}

// crowd fills the queue: one goes to whoever waits for a connection, the next stays.
func (w *Ways) crowd(g *gate) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: fillers}, Timeout: 100 * time.Millisecond}
	for filled, tries := 0, 0; filled < 2 && tries < 6; tries++ {
		c, err := d.Dial("tcp", g.ln.Addr().String())
		w.gates.mu.Lock()
		if !g.shut {
			w.gates.mu.Unlock()
			if err == nil {
				c.Close()
			}
			return
		}
		if err == nil {
			g.fill = append(g.fill, c)
			filled++
		}
		w.gates.mu.Unlock()
		if e, ok := err.(net.Error); err != nil && (!ok || !e.Timeout()) {
			return // nobody listens any more; a time-out may come of the first, not taken yet
		}
	}
}

// broken tells whether a link carries nothing in one of its directions.
func (w *Ways) broken(a, b string) bool {
	there, _ := w.way(a, b)
	back, _ := w.way(b, a)
	return there.loss >= 1 || back.loss >= 1
}

// stranger tells whether a connection is the rig's own. It returns once the link carries something again.
func (w *Ways) stranger(c net.Conn, here, there string) bool {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); w == nil || !ok || !a.IP.Equal(fillers) {
		return false
	}
	c.Close()
	for {
		_, changed := w.way(here, there)
		if !w.broken(here, there) {
			return true
		}
		<-changed
	}
}
