package emulator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// relayStreamTimeout ends a relayed stream, or one over a link that never heals would stay.
const relayStreamTimeout = time.Minute

const (
	streamBufferSize   = 16 << 10
	datagramBufferSize = 64 << 10
)

// relay is the address at which a proxy's peers reach it: it forwards what comes there, over TCP and UDP, over the proxy's links.
// It tells the sender by the source address, since each proxy has an IP address of its own.
type relay struct {
	network       *network
	name          string // of the proxy
	listenAddress string
	targetAddress string // where the proxy listens
	proxyByIP     map[string]string
	udp           net.PacketConn
	datagrams     sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	conns    map[net.Conn]struct{}
	ended    bool
}

// newRelay returns a relay that forwards.
func newRelay(links *network, name, listenAddress, targetAddress string, proxyByIP map[string]string) (*relay, error) {
	r := &relay{
		network: links, name: name, listenAddress: listenAddress, targetAddress: targetAddress, proxyByIP: proxyByIP,
		conns: map[net.Conn]struct{}{},
	}
	var err error
	if r.udp, err = net.ListenPacket("udp", listenAddress); err != nil {
		return nil, err
	}
	r.datagrams.Go(r.forwardDatagrams)
	return r, r.listen()
}

// senderName returns the name of the proxy with an address, "" where there is none.
func (r *relay) senderName(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return r.proxyByIP[host]
}

// listen accepts connections until they are refused or the relay is shut down.
func (r *relay) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.ended {
		return nil
	}
	listener, err := net.Listen("tcp", r.listenAddress)
	if err != nil {
		return err
	}
	r.listener = listener
	go func() { // it ends as the listener is closed
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forwardStream(c)
		}
	}()
	return nil
}

// refuse closes all streams and refuses connections, as a machine does whose process has ended.
func (r *relay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close() // refuses from now on in any case
		r.listener = nil
	}
	for c := range r.conns {
		_ = c.Close() // its own goroutine may have closed it
	}
}

// shutdown ends the relay for good.
func (r *relay) shutdown() {
	r.refuse()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.udp.Close() // only ends forwardDatagrams
	r.datagrams.Wait()
}

// forwardStream forwards a connection's bytes in both directions until both have ended.
func (r *relay) forwardStream(in net.Conn) {
	from := r.senderName(in.RemoteAddr())
	r.mu.Lock()
	r.conns[in] = struct{}{}
	r.mu.Unlock()
	defer func() {
		_ = in.Close() // all that could be forwarded was
		r.mu.Lock()
		delete(r.conns, in)
		r.mu.Unlock()
	}()
	expired := make(chan struct{})
	time.AfterFunc(relayStreamTimeout, func() { close(expired) })
	if r.network.waitForLink(from, r.name, expired) != nil {
		return
	}
	out, err := net.DialTimeout("tcp", r.targetAddress, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }() // all that could be forwarded was
	var directions sync.WaitGroup
	directions.Go(func() { r.forwardDirection(out, in, from, r.name, expired) })
	directions.Go(func() { r.forwardDirection(in, out, r.name, from, expired) })
	directions.Wait()
}

// forwardDirection forwards the bytes of one direction until its end, which it passes on, or an error.
func (r *relay) forwardDirection(dst, src net.Conn, from, to string, expired <-chan struct{}) {
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if r.network.waitForLink(from, to, expired) != nil {
				return
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the receiver may have ended before
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// forwardDatagrams forwards datagrams, with the loss, duplication and delay of the sender's link, until the relay is shut down.
func (r *relay) forwardDatagrams() {
	target, err := net.ResolveUDPAddr("udp", r.targetAddress)
	if err != nil {
		return
	}
	// a datagram that can't be sent, as while the proxy is down, is lost
	send := func(datagram []byte) { _, _ = r.udp.WriteTo(datagram, target) }
	buffer := make([]byte, datagramBufferSize)
	for {
		n, sender, err := r.udp.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the proxy refused an earlier one while it was down
		}
		state, _ := r.network.linkState(r.senderName(sender), r.name)
		for range r.copies(state) {
			if state.maxDelay == 0 {
				send(buffer[:n])
				continue
			}
			delayed := slices.Clone(buffer[:n])
			time.AfterFunc(time.Duration(r.network.randomFloat()*float64(state.maxDelay)), func() { send(delayed) })
		}
	}
}

// copies draws how often a datagram arrives.
func (r *relay) copies(state linkFault) int {
	switch {
	case state.lossRate > 0 && r.network.randomFloat() < state.lossRate:
		return 0
	case state.duplicateRate > 0 && r.network.randomFloat() < state.duplicateRate:
		return 2
	default:
		return 1
	}
}

// freePort returns an address with a port that is free for both TCP and UDP.
func freePort(ip string) (string, error) {
	const attempts = 50
	for range attempts {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		packets, udpErr := net.ListenPacket("udp", address)
		if err := listener.Close(); err != nil {
			return "", err
		}
		if udpErr == nil {
			return address, packets.Close()
		}
	}
	return "", fmt.Errorf("no port is free at %s", ip)
}
