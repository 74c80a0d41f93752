package gossip

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

const (
	mostStreams   = 32      // connections from peers at one time
	mostStream    = 4 << 20 // bytes read from one
	packetsSecond = 4000
)

// transport is the library's, with bounds on what comes in, and with the proxy's own address as the source of what goes
// out.
type transport struct {
	*memberlist.NetTransport
	from    net.IP
	packets chan *memberlist.Packet
	streams chan net.Conn
	open    atomic.Int64
	count   *Counters
	quit    chan struct{}
	once    sync.Once
	all     sync.WaitGroup
}

func newTransport(inner *memberlist.NetTransport, from net.IP, count *Counters) *transport {
	t := &transport{
		NetTransport: inner, from: from, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), count: count,
		quit: make(chan struct{}),
	}
	t.all.Add(1)
	go t.run()
	return t
}

// run passes on what comes, as far as the bounds allow.
func (t *transport) run() {
	defer t.all.Done()
	few := rate.NewLimiter(packetsSecond, packetsSecond)
	for {
		select {
		case p := <-t.NetTransport.PacketCh():
			t.count.Packets.Add(1)
			t.count.BytesIn.Add(int64(len(p.Buf)))
			if !few.Allow() {
				t.count.Dropped.Add(1)
				continue
			}
			select {
			case t.packets <- p:
			case <-t.quit:
				return
			}
		case c := <-t.NetTransport.StreamCh():
			if t.open.Add(1) > mostStreams {
				t.open.Add(-1)
				t.count.Dropped.Add(1)
				c.Close()
				continue
			}
			t.count.Streams.Add(1)
			select {
			case t.streams <- &stream{Conn: c, of: t, left: mostStream}:
			case <-t.quit:
				c.Close()
				return
			}
		case <-t.quit:
			return
		}
	}
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	t.count.BytesOut.Add(int64(len(b)))
	return t.NetTransport.WriteTo(b, addr)
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.from}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &stream{Conn: c, of: t, left: mostStream, ours: true}, nil
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

func (t *transport) Shutdown() error {
	err := t.NetTransport.Shutdown()
	t.once.Do(func() { close(t.quit) })
	t.all.Wait()
	return err
}

var errLong = errors.New("a peer that sends without end")

// stream bounds what is read from a connection.
type stream struct {
	net.Conn
	of   *transport
	left int
	ours bool
	once sync.Once
}

func (s *stream) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errLong
	}
	n, err := s.Conn.Read(b[:min(len(b), s.left)])
	s.left -= n
	s.of.count.BytesIn.Add(int64(n))
	return n, err
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.of.count.BytesOut.Add(int64(n))
	return n, err
}

func (s *stream) Close() error {
	s.once.Do(func() {
		if !s.ours {
			s.of.open.Add(-1)
		}
	})
	return s.Conn.Close()
}
