package gossip

import (
	"bytes"
	"encoding/binary"
	"io"
	"log"
	"net"
	"regexp"
	"sync"
	"testing"
	"time"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/wire"
	"woodproxy/replica"

	"github.com/hashicorp/memberlist"
	"github.com/vmihailenco/msgpack/v5"
)

// Types and parts of memberlist's frames, which carry the messages.
const (
	goldenCluster = "golden"
	labelHeader   = "\xf4\x06golden" // precedes each packet and stream
	frameCompound = 7                // followed by a count, that many lengths of two bytes, and that many frames
	frameUser     = 8                // followed by the message
	frameChecksum = 12               // followed by a CRC of four bytes and a frame
	frameLast     = 12               // highest type
	frameCompress = 9                // compressed frame, which must not be sent
	frameEncrypt  = 10               // encrypted frame, which must not be sent
	lengthField   = "UserMsgLen"     // only field of the map that follows frameUser on a stream
)

// TestNodeMetaAndLocalStateEmpty checks that memberlist carries only user messages: nodes have no metadata and no state.
func TestNodeMetaAndLocalStateEmpty(t *testing.T) {
	var callbacks delegate
	if meta := callbacks.NodeMeta(512); len(meta) != 0 {
		t.Errorf("got node metadata %x, want none", meta)
	}
	for _, join := range []bool{false, true} {
		if state := callbacks.LocalState(join); len(state) != 0 {
			t.Errorf("got local state %x, want none", state)
		}
	}
}

// TestGossipFramesIncoming checks that the golden message is received in each type of frame that may contain a message.
func TestGossipFramesIncoming(t *testing.T) {
	t.Parallel()
	message := goldenMessage(t, "spread")
	length := string(binary.BigEndian.AppendUint16(nil, uint16(len(message))))
	longer := string(binary.BigEndian.AppendUint16(nil, uint16(len(message)+1)))
	for i, test := range []struct{ name, network, frame string }{
		{"packet", "udp", "\x08" + message},
		{"compound packet", "udp", "\x07\x01" + longer + "\x08" + message},
		{"stream", "tcp", "\x08\x81\xaaUserMsgLen\xcd" + length + message},
	} {
		t.Run(test.name, func(t *testing.T) {
			ip := loopbackIP(i + 1)
			handler := newRecordingHandler()
			startAgent(t, goldenCluster, "receiver", ip, handler)
			send(t, test.network, ip, labelHeader+test.frame)
			select {
			case row := <-handler.rows:
				if row.Kind != replica.KindZoneReport || row.Key != "zone-1" ||
					row.Writer != goldenSender || row.Sequence != 70000 {
					t.Errorf("got row %+v, want that of the golden message", row)
				}
			case <-time.After(5 * time.Second):
				t.Error("message not received within 5 s")
			}
		})
	}
}

// TestGossipFramesOutgoing checks the frames in which messages are sent, and the node name by which peers identify a proxy.
func TestGossipFramesOutgoing(t *testing.T) {
	t.Parallel()
	ip := loopbackIP(10)
	agent := startAgent(t, goldenCluster, goldenSender, ip, newRecordingHandler())
	peer, recorded := startPeer(t, loopbackIP(11))
	if _, err := peer.Join([]string{withTestPort(ip)}); err != nil {
		t.Fatal(err)
	}
	node := nodeAt(t, peer, ip)
	if !regexp.MustCompile(`^proxy-a/[0-9]{13}$`).MatchString(node.Name) || len(node.Meta) != 0 {
		t.Errorf("got node %q with metadata %x, want proxy-a/ with 13 digits and no metadata", node.Name, node.Meta)
	}
	agent.PublishHealth("node-1", false)
	eventually(t, "a health observation arrives in a packet", func() bool {
		return recorded.hasPacket(t, func(m *gossipMessage) bool {
			return m.Type == replica.ActionGossip && len(m.Rows) == 1 &&
				m.Rows[0].Kind == replica.KindHealthObservation && m.Rows[0].Key == "node-1"
		})
	})
	agent.PublishEndpoints(7, true, []wire.Endpoint{
		{Name: "node-2", Address: "192.0.2.1:11211", Ready: true, StartedAtUnixMilli: 5},
	})
	eventually(t, "an endpoint arrives in a packet", func() bool {
		return recorded.hasPacket(t, func(m *gossipMessage) bool {
			return m.Type == replica.ActionGossip && isPublishedEndpoint(&m.Rows[0])
		})
	})
	digest := encodeGossip(&gossipMessage{Sender: "peer", Type: replica.ActionSendDigest, Digests: foreignDigests()})
	if err := peer.SendReliable(node, digest); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the reply to a digest arrives on a stream", func() bool {
		return recorded.hasStream(t, func(m *gossipMessage) bool {
			return m.Type == replica.ActionSendVersions && len(m.Versions) > 0 && m.Buckets != 0
		})
	})
}

// isPublishedEndpoint reports whether a row is that of the endpoint that TestGossipFramesOutgoing publishes.
func isPublishedEndpoint(row *replica.Row) bool {
	return row.Kind == replica.KindEndpoint && row.Key == "node-2" && row.Writer == "" &&
		row.Epoch == 7 && row.Rank == 0 && row.Sequence == 5 && len(row.Body) > 0
}

// foreignDigests returns bucket digests that differ from those of the agent under test.
func foreignDigests() []uint64 {
	digests := make([]uint64, 64)
	for i := range digests {
		digests[i] = ^uint64(i)
	}
	return digests
}

// send sends a frame to an agent from a socket that belongs to no member.
func send(t *testing.T, network, ip, frame string) {
	t.Helper()
	conn, err := net.Dial(network, withTestPort(ip))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, frame); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// goldenMessage returns the encoded message with the given name from the golden file of messages.
func goldenMessage(t *testing.T, name string) string {
	t.Helper()
	for _, encoding := range goldentest.ReadEncodings(t, "messages.golden") {
		if encoding.Name == name {
			return string(encoding.Encoded)
		}
	}
	t.Fatalf("no golden message %q", name)
	return ""
}

// startPeer starts a member of the cluster and returns it with the transport that records the traffic it receives. The
// member is shut down when the test ends.
func startPeer(t *testing.T, ip string) (*memberlist.Memberlist, *recordingTransport) {
	t.Helper()
	logger := log.New(io.Discard, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{ip},
		BindPort:  testPort,
		Logger:    logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	recorded := &recordingTransport{
		NetTransport: inner,
		packetCh:     make(chan *memberlist.Packet),
		streamCh:     make(chan net.Conn),
		done:         make(chan struct{}),
	}
	var forwarder sync.WaitGroup
	forwarder.Go(recorded.run)
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label, config.Transport, config.Logger = "peer/1", goldenCluster, recorded, logger
	config.BindAddr, config.BindPort = ip, testPort
	config.AdvertiseAddr, config.AdvertisePort = ip, testPort
	peer, err := memberlist.Create(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := peer.Shutdown(); err != nil {
			t.Error(err)
		}
		close(recorded.done)
		forwarder.Wait()
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

// recordingTransport records the raw bytes of incoming packets and streams.
type recordingTransport struct {
	*memberlist.NetTransport
	packetCh chan *memberlist.Packet
	streamCh chan net.Conn
	done     chan struct{}

	mu      sync.Mutex // guards the fields below
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

// recordingConn records the bytes read from a connection.
type recordingConn struct {
	net.Conn
	mu      sync.Mutex // guards content
	content []byte
}

func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.content = append(c.content, b[:n]...)
	c.mu.Unlock()
	return n, err
}

func (c *recordingConn) recorded() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.content)
}

// hasPacket reports whether a packet with a matching message has arrived.
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

// hasStream reports whether a complete matching message has arrived on a stream.
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

// decodeSent decodes a message that the agent under test sent, and checks its sender, version and encoding.
func decodeSent(t *testing.T, encoded []byte) *gossipMessage {
	t.Helper()
	m, err := decodeGossip(encoded)
	if err != nil {
		t.Fatalf("%x: %v", encoded, err)
	}
	if m.Sender != goldenSender || m.Version != wireVersion || !bytes.Equal(encodeGossip(m), encoded) {
		t.Errorf("message %x: got version %d from %q, want 1 from proxy-a and the same encoding", encoded, m.Version, m.Sender)
	}
	return m
}

// messagesOfPacket returns the user messages of a packet without their frames.
func messagesOfPacket(t *testing.T, packet []byte) [][]byte {
	t.Helper()
	frame, labeled := bytes.CutPrefix(packet, []byte(labelHeader))
	if !labeled {
		t.Fatalf("packet without the cluster label: %x", packet)
	}
	return messagesOfFrame(t, frame)
}

func messagesOfFrame(t *testing.T, frame []byte) [][]byte {
	t.Helper()
	switch frame[0] {
	case frameUser:
		return [][]byte{frame[1:]}
	case frameChecksum:
		return messagesOfFrame(t, frame[5:])
	case frameCompound:
		count := int(frame[1])
		lengths, rest := frame[2:2+2*count], frame[2+2*count:]
		var messages [][]byte
		for i := range count {
			length := binary.BigEndian.Uint16(lengths[2*i:])
			messages = append(messages, messagesOfFrame(t, rest[:length])...)
			rest = rest[length:]
		}
		return messages
	case frameCompress, frameEncrypt:
		t.Fatalf("compressed or encrypted frame: %x", frame)
	}
	if frame[0] > frameLast {
		t.Fatalf("frame of an unknown type: %x", frame)
	}
	return nil // a frame that memberlist uses internally
}

// messageOfStream returns the user message of a stream without its frame. It returns nil if the frame has another type or is
// not complete yet.
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
