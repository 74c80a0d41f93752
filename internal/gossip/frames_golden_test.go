package gossip

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"testing"
	"time"

	"woodproxy/internal/wire"
	"woodproxy/replica"

	"github.com/hashicorp/memberlist"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// Frames of the membership library, in which messages go.
const (
	goldenCluster = "golden"
	labelHeader   = "\xf4\x06golden" // before each packet and stream
	frameCompound = 7                // count, lengths of two bytes each, frames
	frameUser     = 8                // message
	frameChecksum = 12               // CRC of four bytes, frame
	frameLast     = 12               // of those that may come; the compressed and encrypted ones may not
	frameCompress = 9
	frameEncrypt  = 10
	lengthField   = "UserMsgLen" // the one field of the map that follows frameUser on a stream
)

// TestNodeMetaAndLocalStateEmpty pins that nothing but user messages goes over: no metadata and no state of nodes.
func TestNodeMetaAndLocalStateEmpty(t *testing.T) {
	var callbacks delegate
	if meta := callbacks.NodeMeta(512); len(meta) != 0 {
		t.Errorf("node metadata %x", meta)
	}
	for _, join := range []bool{false, true} {
		if state := callbacks.LocalState(join); len(state) != 0 {
			t.Errorf("local state %x", state)
		}
	}
}

// TestGossipFramesIncoming checks that the golden message is heard in each frame that it may come in.
func TestGossipFramesIncoming(t *testing.T) {
	t.Parallel()
	message := goldenMessage(t, "spread")
	length := string(binary.BigEndian.AppendUint16(nil, uint16(len(message))))
	longer := string(binary.BigEndian.AppendUint16(nil, uint16(len(message)+1)))
	for i, c := range []struct{ name, network, frame string }{
		{"packet", "udp", "\x08" + message},
		{"compound packet", "udp", "\x07\x01" + longer + "\x08" + message},
		{"stream", "tcp", "\x08\x81\xaaUserMsgLen\xcd" + length + message},
	} {
		ip := loopback(i + 1)
		proxy := &recordingProxy{rows: make(chan replica.Row, 16)}
		startTalker(t, "receiver", ip, proxy)
		send(t, c.network, ip, labelHeader+c.frame)
		select {
		case row := <-proxy.rows:
			if row.Kind != replica.Voice || row.Key != "zone-1" || row.Writer != goldenSender || row.Count != 70000 {
				t.Errorf("%s: %+v", c.name, row)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: not heard", c.name)
		}
	}
}

// TestGossipFramesOutgoing checks the frames in which a peer gets messages, and the names of nodes by which they find
// each other.
func TestGossipFramesOutgoing(t *testing.T) {
	t.Parallel()
	ip := loopback(10)
	talker := startTalker(t, goldenSender, ip, &recordingProxy{rows: make(chan replica.Row, 16)})
	peer, recorded := startPeer(t, loopback(11))
	if _, err := peer.Join([]string{ip + ":7946"}); err != nil {
		t.Fatal(err)
	}
	node := nodeAt(t, peer, ip)
	if !regexp.MustCompile(`^proxy-a/[0-9]{13}$`).MatchString(node.Name) || len(node.Meta) != 0 {
		t.Errorf("node %q with metadata %x", node.Name, node.Meta)
	}
	talker.Tell("node-1", false)
	eventually(t, "a row comes in a packet", func() bool {
		return recorded.hasPacket(t, func(m *gossipMessage) bool {
			return m.Type == replica.Spread && len(m.Rows) == 1 && m.Rows[0].Kind == replica.Sight && m.Rows[0].Key == "node-1"
		})
	})
	talker.Listed(7, true, []wire.Target{{Name: "node-2", Address: "192.0.2.1:11211", Ready: true, Since: 5}})
	eventually(t, "a node of discovery's list comes in a packet", func() bool {
		return recorded.hasPacket(t, func(m *gossipMessage) bool {
			return m.Type == replica.Spread && isListedNode(&m.Rows[0])
		})
	})
	digest := encodeGossip(&gossipMessage{Sender: "peer", Type: replica.Digest, Digests: foreignSums()})
	if err := peer.SendReliable(node, digest); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a digest is answered on a stream", func() bool {
		return recorded.hasStream(t, func(m *gossipMessage) bool { return m.Type == replica.Heads && len(m.Versions) > 0 && m.Buckets != 0 })
	})
}

// isListedNode tells whether a row is what is sent of the node that the test lists.
func isListedNode(row *replica.Row) bool {
	return row.Kind == replica.Node && row.Key == "node-2" && row.Writer == "" && row.Epoch == 7 && row.Rank == 0 && row.Count == 5 &&
		len(row.Body) > 0
}

// foreignSums is a digest that differs from that of anybody.
func foreignSums() []uint64 {
	sums := make([]uint64, 64)
	for i := range sums {
		sums[i] = ^uint64(i)
	}
	return sums
}

// loopback is an address that no other test, and no other run at the same time, listens at.
func loopback(n int) string { return fmt.Sprintf("127.41.%d.%d", os.Getpid()%250, n) }

// recordingProxy keeps the rows that it is told of.
type recordingProxy struct{ rows chan replica.Row }

func (p *recordingProxy) Hear(int64, wire.Target)      {}
func (p *recordingProxy) Heard(string, bool)           {}
func (p *recordingProxy) Share(float64)                {}
func (p *recordingProxy) Demand() int64                { return 0 }
func (p *recordingProxy) Writes() int64                { return 0 }
func (p *recordingProxy) Fleet([]replica.Member, bool) {}
func (p *recordingProxy) Row(row *replica.Row)         { p.rows <- *row }

func startTalker(t *testing.T, name, ip string, proxy Proxy) *Talker {
	t.Helper()
	address := ip + ":7946"
	config := &Config{Cluster: goldenCluster, Listen: address, Advertise: address, Hold: 1, Floor: 0.25}
	talker, err := Start(config, name, "", 2, 10*replica.Second, 1, proxy, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(talker.Close)
	return talker
}

func send(t *testing.T, network, ip, frame string) {
	t.Helper()
	conn, err := net.Dial(network, ip+":7946")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, frame); err != nil {
		t.Fatal(err)
	}
}

// goldenMessage is the bytes of one case of the golden file of messages.
func goldenMessage(t *testing.T, name string) string {
	t.Helper()
	for _, e := range readGolden(t, filepath.Join("testdata", "messages.golden")) {
		if e.name == name {
			return string(e.encoded)
		}
	}
	t.Fatalf("no golden message %q", name)
	return ""
}

// startPeer starts a member of the cluster that records what comes to it.
func startPeer(t *testing.T, ip string) (*memberlist.Memberlist, *recordingTransport) {
	t.Helper()
	logger := log.New(io.Discard, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{ip}, BindPort: 7946, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	recorded := &recordingTransport{NetTransport: inner, packetCh: make(chan *memberlist.Packet), streamCh: make(chan net.Conn), done: make(chan struct{})}
	go recorded.run()
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label, config.Transport, config.Logger = "peer/1", goldenCluster, recorded, logger
	config.BindAddr, config.BindPort, config.AdvertiseAddr, config.AdvertisePort = ip, 7946, ip, 7946
	peer, err := memberlist.Create(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		peer.Shutdown()
		close(recorded.done)
	})
	return peer, recorded
}

func nodeAt(t *testing.T, peer *memberlist.Memberlist, ip string) *memberlist.Node {
	t.Helper()
	for _, node := range peer.Members() {
		if node.Addr.String() == ip {
			return node
		}
	}
	t.Fatalf("no node at %s", ip)
	return nil
}

// recordingTransport keeps the raw bytes of what comes in.
type recordingTransport struct {
	*memberlist.NetTransport
	packetCh chan *memberlist.Packet
	streamCh chan net.Conn
	done     chan struct{}

	mu      sync.Mutex
	packets [][]byte
	streams []*recordingConn
}

func (r *recordingTransport) PacketCh() <-chan *memberlist.Packet { return r.packetCh }
func (r *recordingTransport) StreamCh() <-chan net.Conn           { return r.streamCh }

func (r *recordingTransport) run() {
	for {
		select {
		case packet := <-r.NetTransport.PacketCh():
			r.mu.Lock()
			r.packets = append(r.packets, bytes.Clone(packet.Buf))
			r.mu.Unlock()
			select {
			case r.packetCh <- packet:
			case <-r.done:
				return
			}
		case conn := <-r.NetTransport.StreamCh():
			stream := &recordingConn{Conn: conn}
			r.mu.Lock()
			r.streams = append(r.streams, stream)
			r.mu.Unlock()
			select {
			case r.streamCh <- stream:
			case <-r.done:
				return
			}
		case <-r.done:
			return
		}
	}
}

// recordingConn keeps what is read from a connection.
type recordingConn struct {
	net.Conn
	mu  sync.Mutex
	all []byte
}

func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.all = append(c.all, b[:n]...)
	c.mu.Unlock()
	return n, err
}

func (c *recordingConn) recorded() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.all)
}

// hasPacket tells whether a message that matches came in a packet so far.
func (r *recordingTransport) hasPacket(t *testing.T, matches func(*gossipMessage) bool) bool {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, packet := range r.packets {
		for _, message := range messagesOfPacket(t, packet) {
			if matches(decodeSent(t, message)) {
				return true
			}
		}
	}
	return false
}

// hasStream tells whether a message that matches came whole on a stream so far.
func (r *recordingTransport) hasStream(t *testing.T, matches func(*gossipMessage) bool) bool {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, stream := range r.streams {
		if message := messageOfStream(stream.recorded()); message != nil && matches(decodeSent(t, message)) {
			return true
		}
	}
	return false
}

// decodeSent decodes a message that was sent, which has to be from the proxy under test and encoded as it would be anew.
func decodeSent(t *testing.T, encoded []byte) *gossipMessage {
	t.Helper()
	m, err := decodeGossip(encoded)
	if err != nil {
		t.Fatalf("%x: %v", encoded, err)
	}
	if m.Sender != goldenSender || m.Version != wireVersion || !bytes.Equal(encodeGossip(m), encoded) {
		t.Errorf("message %x: version %d from %q", encoded, m.Version, m.Sender)
	}
	return m
}

// messagesOfPacket takes the frames off the user messages of a packet.
func messagesOfPacket(t *testing.T, packet []byte) [][]byte {
	t.Helper()
	frame, labelled := bytes.CutPrefix(packet, []byte(labelHeader))
	if !labelled {
		t.Fatalf("packet without the label: %x", packet)
	}
	return messagesOfFrame(t, frame)
}

func messagesOfFrame(t *testing.T, frame []byte) (messages [][]byte) {
	t.Helper()
	switch frame[0] {
	case frameUser:
		return [][]byte{frame[1:]}
	case frameChecksum:
		return messagesOfFrame(t, frame[5:])
	case frameCompound:
		count := int(frame[1])
		lengths, rest := frame[2:2+2*count], frame[2+2*count:]
		for i := range count {
			length := binary.BigEndian.Uint16(lengths[2*i:])
			messages = append(messages, messagesOfFrame(t, rest[:length])...)
			rest = rest[length:]
		}
		return messages
	case frameCompress, frameEncrypt:
		t.Fatalf("a compressed or encrypted frame: %x", frame)
	}
	if frame[0] > frameLast {
		t.Fatalf("an unknown frame: %x", frame)
	}
	return nil // the library's own
}

// messageOfStream takes the frame off a user message, nil: another frame, or the message is not whole yet.
func messageOfStream(stream []byte) []byte {
	frame, ok := bytes.CutPrefix(stream, append([]byte(labelHeader), frameUser))
	if !ok {
		return nil
	}
	rest := bytes.NewReader(frame)
	header := msgpack.NewDecoder(rest)
	count, err := header.DecodeMapLen()
	if err != nil || count != 1 {
		return nil
	}
	if name, err := header.DecodeString(); err != nil || name != lengthField {
		return nil
	}
	length, err := header.DecodeInt()
	if err != nil || length != rest.Len() {
		return nil
	}
	return frame[len(frame)-length:]
}
