package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Limits on the traffic from peers.
const (
	maxIncomingStreams  = 32      // maximum number of concurrent incoming connections
	maxStreamLength     = 4 << 20 // maximum number of bytes read from one connection
	maxPacketsPerSecond = 4000    // also the burst size
)

// errStreamTooLong is the error of reads from a connection from which maxStreamLength bytes have been read.
var errStreamTooLong = errors.New("stream exceeds the limit on its length")

// transport wraps memberlist's transport. It limits incoming traffic, counts traffic, and uses the listen address as the
// source address of outgoing connections. Shutdown stops its goroutine and closes all outgoing connections.
type transport struct {
	*memberlist.NetTransport
	source   net.IP
	counters *Counters

	packets     chan *memberlist.Packet
	streams     chan net.Conn
	openStreams atomic.Int64 // number of open incoming connections

	ctx       context.Context // canceled by Shutdown
	cancel    context.CancelFunc
	forwarder sync.WaitGroup
}

func newTransport(inner *memberlist.NetTransport, source net.IP, counters *Counters) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{
		NetTransport: inner,
		source:       source,
		counters:     counters,
		packets:      make(chan *memberlist.Packet),
		streams:      make(chan net.Conn),
		ctx:          ctx,
		cancel:       cancel,
	}
	t.forwarder.Go(t.forward)
	return t
}

// forward passes incoming packets and streams to memberlist until Shutdown. It drops those that exceed the limits.
func (t *transport) forward() {
	limiter := rate.NewLimiter(maxPacketsPerSecond, maxPacketsPerSecond)
	for {
		select {
		case packet := <-t.NetTransport.PacketCh():
			t.forwardPacket(packet, limiter)
		case conn := <-t.NetTransport.StreamCh():
			t.forwardStream(conn)
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *transport) forwardPacket(packet *memberlist.Packet, limiter *rate.Limiter) {
	t.counters.PacketsReceived.Add(1)
	t.counters.BytesIn.Add(int64(len(packet.Buf)))
	if !limiter.Allow() {
		t.counters.Dropped.Add(1)
		return
	}
	select {
	case t.packets <- packet:
	case <-t.ctx.Done():
	}
}

func (t *transport) forwardStream(conn net.Conn) {
	if t.openStreams.Add(1) > maxIncomingStreams {
		t.openStreams.Add(-1)
		t.counters.Dropped.Add(1)
		_ = conn.Close() // nothing was written, so no data can be lost
		return
	}
	t.counters.StreamsAccepted.Add(1)
	release := func() { t.openStreams.Add(-1) }
	select {
	case t.streams <- newStream(conn, t.counters, release):
	case <-t.ctx.Done():
		_ = conn.Close() // same here
	}
}

// PacketCh returns the channel of incoming packets within the limits. PacketCh and the following methods up to
// DialAddressTimeout implement memberlist.NodeAwareTransport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of incoming streams within the limits.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo sends a packet to the address and counts its bytes.
func (t *transport) WriteTo(packet []byte, address string) (time.Time, error) {
	t.counters.BytesOut.Add(int64(len(packet)))
	return t.NetTransport.WriteTo(packet, address)
}

// WriteToAddress is WriteTo for the address of a node.
func (t *transport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, address.Addr)
}

// DialTimeout connects to the address within the timeout. Shutdown closes the connection.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.source}}
	conn, err := dialer.DialContext(t.ctx, "tcp", address)
	if err != nil {
		return nil, err // not wrapped: memberlist uses a type assertion on the error, not errors.As
	}
	stopWatching := context.AfterFunc(t.ctx, func() {
		_ = conn.Close() // unblocks reads and writes; unsent data is lost when the process ends
	})
	return newStream(conn, t.counters, func() { stopWatching() }), nil
}

// DialAddressTimeout is DialTimeout for the address of a node.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

// Shutdown closes the sockets and all outgoing connections, and waits until the goroutine of the transport has ended. It
// may be called more than once.
func (t *transport) Shutdown() error {
	err := t.NetTransport.Shutdown()
	t.cancel()
	t.forwarder.Wait()
	if err != nil {
		return fmt.Errorf("gossip transport: %w", err)
	}
	return nil
}

// stream is a connection that counts the bytes read and written, and limits the number of bytes read to maxStreamLength.
type stream struct {
	net.Conn
	counters       *Counters
	remainingBytes int       // number of bytes that may still be read
	release        func()    // called once, when the stream is closed
	releaseOnce    sync.Once // needed because memberlist may close a connection twice
}

func newStream(conn net.Conn, counters *Counters, release func()) *stream {
	return &stream{Conn: conn, counters: counters, remainingBytes: maxStreamLength, release: release}
}

func (s *stream) Read(buffer []byte) (int, error) {
	if s.remainingBytes <= 0 {
		return 0, errStreamTooLong
	}
	n, err := s.Conn.Read(buffer[:min(len(buffer), s.remainingBytes)])
	s.remainingBytes -= n
	s.counters.BytesIn.Add(int64(n))
	return n, err
}

func (s *stream) Write(content []byte) (int, error) {
	n, err := s.Conn.Write(content)
	s.counters.BytesOut.Add(int64(n))
	return n, err
}

func (s *stream) Close() error {
	s.releaseOnce.Do(s.release)
	return s.Conn.Close()
}
