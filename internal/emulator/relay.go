package emulator

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// relayStreamTimeout is the maximum time that bytes of a relayed stream may wait for a link, counted from the start of the
// stream. Without it, a stream over a link that stays severed would never end.
const relayStreamTimeout = time.Minute

const (
	streamBufferSize   = 16 << 10 // bytes
	datagramBufferSize = 64 << 10 // bytes
)

// relay forwards the TCP and UDP traffic from a proxy's peers to the proxy, over the simulated links between them. It
// identifies the sender by the source IP address, which is different for each proxy.
type relay struct {
	network       *network
	name          string            // of the proxy
	listenAddress string            // address that the proxy advertises to its peers
	targetAddress string            // where the proxy listens
	proxyByIP     map[string]string // names of proxies by IP address
	udp           net.PacketConn
	datagrams     sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	conns    map[net.Conn]struct{}
	ended    bool
}

// newRelay starts a relay.
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

// senderName returns the name of the proxy with an address, "" if there is none.
func (r *relay) senderName(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return r.proxyByIP[host]
}

// listen starts to accept connections, until refuse or shutdown is called. It does nothing if the relay accepts connections
// already or has been shut down.
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
	go func() { // ends when the listener is closed
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

// refuse closes all streams and refuses connections, like a machine on which the process has ended.
func (r *relay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close() // an error changes nothing: connections are refused from now on
		r.listener = nil
	}
	for c := range r.conns {
		_ = c.Close() // the forwarding goroutine may have closed it
	}
}

// shutdown ends the relay permanently and waits until datagrams are no longer forwarded.
func (r *relay) shutdown() {
	r.refuse()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	_ = r.udp.Close() // ends forwardDatagrams
	r.datagrams.Wait()
}

// forwardStream forwards the bytes of a connection in both directions until both directions have ended.
func (r *relay) forwardStream(in net.Conn) {
	from := r.senderName(in.RemoteAddr())
	r.mu.Lock()
	r.conns[in] = struct{}{}
	r.mu.Unlock()
	defer func() {
		_ = in.Close() // forwarding has ended
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
	defer func() { _ = out.Close() }() // forwarding has ended
	var directions sync.WaitGroup
	directions.Go(func() { r.forwardDirection(out, in, from, r.name, expired) })
	directions.Go(func() { r.forwardDirection(in, out, r.name, from, expired) })
	directions.Wait()
}

// forwardDirection forwards the bytes of one direction until an error or the end of the stream. The end is forwarded as
// well.
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
				_ = tcp.CloseWrite() // the receiver may have closed the connection
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// forwardDatagrams forwards datagrams until the relay is shut down. It applies the loss, duplication and delay of the link
// from the sender.
func (r *relay) forwardDatagrams() {
	target, err := net.ResolveUDPAddr("udp", r.targetAddress)
	if err != nil {
		return
	}
	// errors are ignored: while the proxy is down, datagrams are lost
	send := func(datagram []byte) { _, _ = r.udp.WriteTo(datagram, target) }
	buffer := make([]byte, datagramBufferSize)
	for {
		n, sender, err := r.udp.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // reports that an earlier datagram was refused while the proxy was down
		}
		state, _ := r.network.linkState(r.senderName(sender), r.name)
		for range r.deliveryCount(state) {
			if state.maxDelay == 0 {
				send(buffer[:n])
				continue
			}
			delayed := slices.Clone(buffer[:n])
			time.AfterFunc(time.Duration(r.network.randomFloat()*float64(state.maxDelay)), func() { send(delayed) })
		}
	}
}

// deliveryCount draws the number of times that a datagram is delivered: 0, 1 or 2.
func (r *relay) deliveryCount(state linkFault) int {
	switch {
	case state.lossRate > 0 && r.network.randomFloat() < state.lossRate:
		return 0
	case state.duplicateRate > 0 && r.network.randomFloat() < state.duplicateRate:
		return 2
	default:
		return 1
	}
}

// Range of the ports that freePort returns. It is below the one from which the system takes ports for connections, so that no
// connection has the port by the time a process listens there.
const (
	minFreePort = 10_000
	maxFreePort = 32_000
)

// freePort returns an address at an IP address with a port that is free for both TCP and UDP.
func freePort(ip string) (string, error) {
	const attempts = 50
	for range attempts {
		port := minFreePort + rand.IntN(maxFreePort-minFreePort)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
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
