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
type Ways struct {
	mu      sync.Mutex
	cuts    map[int]cut
	next    int
	changed chan struct{}
	chance  *rand.Rand
	gates   gates // taken before mu
}

// cut is a trouble of links, for as long as it lasts.
type cut struct {
	hits  func(from, to string) bool
	loss  float64       // of datagrams; 1: and of streams, all is silent
	twice float64       // of datagrams
	slow  time.Duration // at most, drawn for each datagram anew, so that they overtake each other; a stream's bytes wait for half
	reset bool          // streams that it hit are reset when it ends
}

func newWays(seed uint64) *Ways {
	return &Ways{cuts: map[int]cut{}, changed: make(chan struct{}), chance: rand.New(rand.NewPCG(seed, 21))}
}

// begin has a trouble hit links until it is ended.
func (w *Ways) begin(c cut) (end func()) {
	w.mu.Lock()
	w.next++
	k := w.next
	w.cuts[k] = c
	w.change()
	w.mu.Unlock()
	w.turnAll()
	return func() {
		w.mu.Lock()
		delete(w.cuts, k)
		w.change()
		w.mu.Unlock()
		w.turnAll()
	}
}

func (w *Ways) change() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// way is what a link does to what goes over it.
func (w *Ways) way(from, to string) (now cut, changed <-chan struct{}) {
	if w == nil {
		return cut{}, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.cuts {
		if c.hits(from, to) {
			now.loss, now.twice, now.slow = max(now.loss, c.loss), max(now.twice, c.twice), max(now.slow, c.slow)
			now.reset = now.reset || c.reset
		}
	}
	return now, w.changed
}

func (w *Ways) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chance.Float64()
}

// any tells whether something hits a name's links, so that nobody may learn through them what became of it.
func (w *Ways) any(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.cuts {
		if c.loss >= 1 && (c.hits(name, "") || c.hits("", name)) {
			return true
		}
	}
	return false
}

var errReset = errors.New("the link was cut, and is reset")

// wait returns once bytes of a stream may go over.
func (w *Ways) wait(from, to string, gone <-chan struct{}) error {
	hit := false
	for {
		now, changed := w.way(from, to)
		if now.loss < 1 {
			if hit {
				return errReset
			}
			if now.slow > 0 {
				time.Sleep(now.slow / 2)
			}
			return nil
		}
		hit = now.reset
		select {
		case <-changed:
		case <-gone:
			return os.ErrClosed
		}
	}
}

// waysConn is a stand-in's end of a connection over a link.
type waysConn struct {
	net.Conn
	ways     *Ways
	here     string
	there    string
	gone     chan struct{}
	goneOnce sync.Once
}

// over has a connection go over a link.
func (w *Ways) over(c net.Conn, here, there string) net.Conn {
	if w == nil {
		return c
	}
	return &waysConn{Conn: c, ways: w, here: here, there: there, gone: make(chan struct{})}
}

func (c *waysConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if cut := c.ways.wait(c.there, c.here, c.gone); cut != nil {
			return 0, cut
		}
	}
	return n, err
}

func (c *waysConn) Write(b []byte) (int, error) {
	if err := c.ways.wait(c.here, c.there, c.gone); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *waysConn) Close() error {
	c.goneOnce.Do(func() { close(c.gone) })
	if now, _ := c.ways.way(c.here, c.there); now.loss >= 1 {
		return nil // its end does not get over either; the stand-in is done with it when the day ends
	}
	return c.Conn.Close()
}

// waysListener accepts connections over links; who comes is told by the address that is dialled.
type waysListener struct {
	net.Listener
	ways        *Ways
	here, there string
}

func (l waysListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.ways.over(c, l.here, l.there), nil
}

// relay is where the peers of a proxy meet it: what comes there, over TCP and UDP, is passed on over its link. Who sends is
// told by the source address, since each proxy has one of its own.
type relay struct {
	ways  *Ways
	name  string
	at    string // where it listens
	to    string // where the proxy does
	names map[string]string

	mu    sync.Mutex
	ln    net.Listener
	udp   net.PacketConn
	conns map[net.Conn]struct{}
	ended bool
}

func newRelay(ways *Ways, name, at, to string, names map[string]string) (*relay, error) {
	r := &relay{ways: ways, name: name, at: at, to: to, names: names, conns: map[net.Conn]struct{}{}}
	var err error
	if r.udp, err = net.ListenPacket("udp", at); err != nil {
		return nil, err
	}
	go r.datagrams()
	return r, r.open()
}

func (r *relay) from(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	return r.names[host]
}

// open lets connections in; close refuses them, as a machine does whose process has ended.
func (r *relay) open() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil || r.ended {
		return nil
	}
	ln, err := net.Listen("tcp", r.at)
	if err != nil {
		return err
	}
	r.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.stream(c)
		}
	}()
	return nil
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		r.ln.Close()
		r.ln = nil
	}
	for c := range r.conns {
		c.Close()
	}
}

func (r *relay) end() {
	r.close()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.udp.Close()
}

func (r *relay) stream(in net.Conn) {
	from := r.from(in.RemoteAddr())
	r.mu.Lock()
	r.conns[in] = struct{}{}
	r.mu.Unlock()
	defer func() {
		in.Close()
		r.mu.Lock()
		delete(r.conns, in)
		r.mu.Unlock()
	}()
	gone := make(chan struct{})
	time.AfterFunc(time.Minute, func() { close(gone) }) // or what is cut off for good would stay
	if r.ways.wait(from, r.name, gone) != nil {
		return
	}
	out, err := net.DialTimeout("tcp", r.to, time.Second)
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
				if r.ways.wait(from, to, gone) != nil {
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

func (r *relay) datagrams() {
	to, err := net.ResolveUDPAddr("udp", r.to)
	if err != nil {
		return
	}
	b := make([]byte, 64<<10)
	for {
		n, a, err := r.udp.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a refusal by the proxy's own end, while it is down
		}
		now, _ := r.ways.way(r.from(a), r.name)
		copies := 1
		if now.loss > 0 && r.ways.draw() < now.loss {
			copies = 0
		} else if now.twice > 0 && r.ways.draw() < now.twice {
			copies = 2
		}
		for range copies {
			if now.slow == 0 {
				r.udp.WriteTo(b[:n], to)
				continue
			}
			text := append([]byte(nil), b[:n]...)
			time.AfterFunc(time.Duration(r.ways.draw()*float64(now.slow)), func() { r.udp.WriteTo(text, to) })
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
