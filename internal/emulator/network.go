package emulator

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// Ways are the links between processes. Each end has a name: n3 is a proxy, c5 a node, d3 the third proxy's discovery. A
// link that is cut says nothing, as a lost machine's does: what is open stays open, and goes on or is reset when it heals.
type network struct {
	mu        sync.Mutex
	faults    map[int]linkFault
	nextFault int
	changed   chan struct{}
	random    *rand.Rand
	gates     gateSet // taken before mu
}

// cut is a trouble of links, for as long as it lasts.
type linkFault struct {
	affects       func(from, to string) bool
	lossRate      float64       // of datagrams; 1: and of streams, all is silent
	duplicateRate float64       // of datagrams
	maxDelay      time.Duration // at most, drawn for each datagram anew, so that they overtake each other; a stream's bytes wait for half
	resetStreams  bool          // streams that it hit are reset when it ends
}

func newNetwork(seed uint64) *network {
	return &network{faults: map[int]linkFault{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 21))}
}

// begin has a trouble hit links until it is ended.
func (w *network) addFault(c linkFault) (end func()) {
	w.mu.Lock()
	w.nextFault++
	id := w.nextFault
	w.faults[id] = c
	w.notifyChanged()
	w.mu.Unlock()
	w.updateGates()
	return func() {
		w.mu.Lock()
		delete(w.faults, id)
		w.notifyChanged()
		w.mu.Unlock()
		w.updateGates()
	}
}

func (w *network) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// way is what a link does to what goes over it.
func (w *network) linkState(from, to string) (state linkFault, changed <-chan struct{}) {
	if w == nil {
		return linkFault{}, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.faults {
		if c.affects(from, to) {
			state.lossRate, state.duplicateRate, state.maxDelay = max(state.lossRate, c.lossRate), max(state.duplicateRate, c.duplicateRate), max(state.maxDelay, c.maxDelay)
			state.resetStreams = state.resetStreams || c.resetStreams
		}
	}
	return state, w.changed
}

func (w *network) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

// any tells whether something hits a name's links, so that nobody may learn through them what became of it.
func (w *network) isCutOff(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.faults {
		if c.lossRate >= 1 && (c.affects(name, "") || c.affects("", name)) {
			return true
		}
	}
	return false
}

var errLinkReset = errors.New("the link was cut, and is reset")

// wait returns once bytes of a stream may go over.
func (w *network) waitForLink(from, to string, closed <-chan struct{}) error {
	resetPending := false
	for {
		state, changed := w.linkState(from, to)
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

// waysConn is a stand-in's end of a connection over a link.
type linkConn struct {
	net.Conn
	network   *network
	local     string
	remote    string
	closed    chan struct{}
	closeOnce sync.Once
}

// over has a connection go over a link.
func (w *network) wrap(c net.Conn, local, remote string) net.Conn {
	if w == nil {
		return c
	}
	return &linkConn{Conn: c, network: w, local: local, remote: remote, closed: make(chan struct{})}
}

func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if cut := c.network.waitForLink(c.remote, c.local, c.closed); cut != nil {
			return 0, cut
		}
	}
	return n, err
}

func (c *linkConn) Write(b []byte) (int, error) {
	if err := c.network.waitForLink(c.local, c.remote, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if now, _ := c.network.linkState(c.local, c.remote); now.lossRate >= 1 {
		return nil // its end does not get over either; the stand-in is done with it when the day ends
	}
	return c.Conn.Close()
}

// waysListener accepts connections over links; who comes is told by the address that is dialled.
type linkListener struct {
	net.Listener
	network       *network
	local, remote string
}

func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(c, l.local, l.remote), nil
}

// relay is where the peers of a proxy meet it: what comes there, over TCP and UDP, is passed on over its link. Who sends is
// told by the source address, since each proxy has one of its own.
type relay struct {
	network       *network
	name          string
	listenAddress string // where it listens
	targetAddress string // where the proxy does
	proxyByIP     map[string]string

	mu       sync.Mutex
	listener net.Listener
	udp      net.PacketConn
	conns    map[net.Conn]struct{}
	ended    bool
}

func newRelay(ways *network, name, listenAddress, targetAddress string, proxyByIP map[string]string) (*relay, error) {
	r := &relay{network: ways, name: name, listenAddress: listenAddress, targetAddress: targetAddress, proxyByIP: proxyByIP, conns: map[net.Conn]struct{}{}}
	var err error
	if r.udp, err = net.ListenPacket("udp", listenAddress); err != nil {
		return nil, err
	}
	go r.forwardDatagrams()
	return r, r.listen()
}

func (r *relay) senderName(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	return r.proxyByIP[host]
}

// open lets connections in; close refuses them, as a machine does whose process has ended.
func (r *relay) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.ended {
		return nil
	}
	ln, err := net.Listen("tcp", r.listenAddress)
	if err != nil {
		return err
	}
	r.listener = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.forwardStream(c)
		}
	}()
	return nil
}

func (r *relay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
	for c := range r.conns {
		c.Close()
	}
}

func (r *relay) shutdown() {
	r.refuse()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.udp.Close()
}

func (r *relay) forwardStream(in net.Conn) {
	from := r.senderName(in.RemoteAddr())
	r.mu.Lock()
	r.conns[in] = struct{}{}
	r.mu.Unlock()
	defer func() {
		in.Close()
		r.mu.Lock()
		delete(r.conns, in)
		r.mu.Unlock()
	}()
	expired := make(chan struct{})
	time.AfterFunc(time.Minute, func() { close(expired) }) // or what is cut off for good would stay
	if r.network.waitForLink(from, r.name, expired) != nil {
		return
	}
	out, err := net.DialTimeout("tcp", r.targetAddress, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn, from, to string) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 16<<10)
		for {
			n, err := src.Read(b)
			if n > 0 {
				if r.network.waitForLink(from, to, expired) != nil {
					return
				}
				if _, err := dst.Write(b[:n]); err != nil {
					return
				}
			}
			if err == io.EOF {
				if tcp, ok := dst.(*net.TCPConn); ok {
					tcp.CloseWrite()
				}
				return
			}
			if err != nil {
				return
			}
		}
	}
	go pump(out, in, from, r.name)
	go pump(in, out, r.name, from)
	<-done
	<-done
}

func (r *relay) forwardDatagrams() {
	target, err := net.ResolveUDPAddr("udp", r.targetAddress)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, sender, err := r.udp.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a refusal by the proxy's own end, while it is down
		}
		state, _ := r.network.linkState(r.senderName(sender), r.name)
		copies := 1
		if state.lossRate > 0 && r.network.randomFloat() < state.lossRate {
			copies = 0
		} else if state.duplicateRate > 0 && r.network.randomFloat() < state.duplicateRate {
			copies = 2
		}
		for range copies {
			if state.maxDelay == 0 {
				r.udp.WriteTo(buffer[:n], target)
				continue
			}
			delayed := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(time.Duration(r.network.randomFloat()*float64(state.maxDelay)), func() { r.udp.WriteTo(delayed, target) })
		}
	}
}

// freePort finds a port at which both kinds of sockets can be bound at an address.
func freePort(ip string) (string, error) {
	for range 50 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		at := ln.Addr().String()
		u, err := net.ListenPacket("udp", at)
		ln.Close()
		if err == nil {
			u.Close()
			return at, nil
		}
	}
	return "", fmt.Errorf("no port is free at %s", ip)
}
