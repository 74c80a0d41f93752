package gossip

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/wire"
	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// A bad file of peers is one line that names the file, and the key.
func TestBadFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "peers.toml")
	good := "cluster = \"c\"\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7946\"]\n"
	for text, want := range map[string]string{
		good + "held_s = 1.0\n":                                       "held_s: unknown",
		good + "hold_s = \"x\"\n":                                     "hold_s",
		good + "hold_s = 0.0\n":                                       "hold_s: 0",
		good + "floor = 1.5\n":                                        "floor: 1.5",
		strings.Replace(good, `"c"`, `""`, 1):                         "cluster: missing",
		strings.Replace(good, "listen", "# listen", 1):                "listen: missing",
		strings.Replace(good, "127.0.0.1:7946", "0.0.0.0:7946", 1):    "listen: no address that peers can reach",
		strings.Replace(good, "127.0.0.1:7946", "127.0.0.1", 1):       "listen: no address and port",
		strings.Replace(good, "127.0.0.1:7946", "127.0.0.1:0", 1):     "listen: no port",
		good + "advertise = \"here:1\"\n":                             "advertise: no address",
		strings.Replace(good, "[\"127.0.0.1:7946\"]", "[\"x:1\"]", 1): "seeds: no address",
	} {
		os.WriteFile(file, []byte(text), 0o600)
		_, err := Read(file, "")
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", want, err)
		}
	}
	os.WriteFile(file, []byte(good), 0o600)
	if c, err := Read(file, "127.0.0.9:1"); err != nil || c.Listen != "127.0.0.9:1" || c.Advertise != c.Listen {
		t.Errorf("%+v %v", c, err)
	}
	if _, err := Read(file+"x", ""); err == nil {
		t.Error("a file that is missing")
	}
}

// hearer notes what a proxy would be told.
type hearer struct {
	nodes  chan wire.Target
	sights chan string
	share  atomic.Value
}

func (h *hearer) Hear(_ int64, t wire.Target)     { h.nodes <- t }
func (h *hearer) Heard(node string, answers bool) { h.sights <- fmt.Sprint(node, " ", answers) }
func (h *hearer) Share(part float64)              { h.share.Store(part) }
func (h *hearer) Demand() int64                   { return 0 }
func (h *hearer) Writes() int64                   { return 0 }
func (h *hearer) Fleet([]replica.Member, bool)    {}
func (h *hearer) Row(*replica.Row)                {}

func talker(t *testing.T, cluster, name, ip string, seeds ...string) (*Talker, *hearer) {
	t.Helper()
	h := &hearer{nodes: make(chan wire.Target, 99), sights: make(chan string, 99)}
	at := ip + ":7946"
	k, err := Start(&Config{Cluster: cluster, Listen: at, Advertise: at, Seeds: seeds, Hold: 1, Floor: 0.25}, name, "", 2, 10*replica.Second, 1,
		h, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k, h
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 150 {
		if is() {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
	t.Error("never: " + what)
}

// Two of one cluster share nodes and sights; one of another cluster hears and tells nothing. Garbled, cut off and oversized
// bytes are passed over, and what they are in goes on.
func TestTalk(t *testing.T) {
	t.Parallel()
	ip := func(n int) string { return fmt.Sprintf("127.40.%d.%d", os.Getpid()%250, n) }
	a, ha := talker(t, "one", "zone/a", ip(1)) // a name may hold what the library's names are made with
	b, hb := talker(t, "one", "b", ip(2), ip(1)+":7946")
	c, hc := talker(t, "two", "c", ip(3), ip(1)+":7946")
	for i := range 20 { // noise, to both kinds of sockets
		u, err := net.Dial("udp", ip(1)+":7946")
		if err != nil {
			t.Fatal(err)
		}
		u.Write([]byte(strings.Repeat("\xff\x00garbled", i*300)))
		u.Write((&message{Sender: "x", Type: replica.Rows}).encode()[:i%9+1])
		u.Close()
		s, err := net.Dial("tcp", ip(1)+":7946")
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(s, strings.Repeat("\xf4\x03one\x06\xff\xff\xff\xff", i))
		s.Close()
	}
	a.Listed(7, true, []wire.Target{{Name: "c1", Address: "1.2.3.4:5", Ready: true, Weight: 2, Zone: "z"}, {Name: "c2"}})
	b.Tell("c1", false)
	eventually(t, "all is told", func() bool { return len(hb.nodes) >= 2 && len(ha.sights) >= 1 })
	for range min(len(hb.nodes), 2) {
		if n := <-hb.nodes; n.Name == "c1" && (n.Weight != 2 || !n.Ready || n.Zone != "z") || n.Name == "c2" && (n.Ready || n.Gone) {
			t.Errorf("%+v", n)
		}
	}
	if len(ha.sights) > 0 {
		if s := <-ha.sights; s != "c1 false" {
			t.Error(s)
		}
	}
	eventually(t, "shares settle", func() bool { return ha.share.Load() == 0.5 && hb.share.Load() == 0.5 })
	if n := len(c.Shown().Members); n != 1 || len(hc.nodes)+len(hc.sights) > 0 {
		t.Errorf("a foreign cluster: %d members, %d nodes", n, len(hc.nodes))
	}
	if a.Bad.Load() == 0 {
		t.Error("noise was not counted")
	}
}

// A later version's messages and fields are passed over, an earlier one's lack of them too.
func TestVersions(t *testing.T) {
	later, err := msgpack.Marshal(map[string]any{"v": 9, "f": "x", "t": replica.Rows, "new": []int{1}, "r": []any{map[string]any{"k": 3, "n": "c1", "e": 4, "newer": true}}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeMessage(later)
	if err != nil || len(m.Rows) != 1 || m.Rows[0].Key != "c1" || m.Rows[0].Epoch != 4 {
		t.Errorf("%+v %v", m, err)
	}
	for _, b := range [][]byte{nil, {0xc1}, (&message{Sender: "x", Digests: make([]uint64, 3)}).encode(), (&message{}).encode(), make([]byte, maxMessageLength+1)} {
		if m, err := decodeMessage(b); err == nil {
			t.Errorf("%d bytes are read: %+v", len(b), m)
		}
	}
}

// A message that claims to hold more than it does is refused without making room for that.
func TestClaims(t *testing.T) {
	claim := append((&message{Sender: "x", Rows: make([]replica.Row, 1)}).encode()[:12], 0xdd, 0x7f, 0xff, 0xff, 0xff)
	if n := testing.AllocsPerRun(10, func() { decodeMessage(claim) }); n > 200 {
		t.Errorf("%v allocations", n)
	}
}

// Whatever peers send is read whole or refused, and what is read can be merged.
func FuzzDecode(f *testing.F) {
	f.Add((&message{Sender: "x", Type: replica.Rows, Rows: []replica.Row{{Kind: replica.Pulse, Key: "x", Writer: "x", Body: []byte{0x81}}}}).encode())
	f.Add((&message{Sender: "x", Type: replica.Digest, Digests: make([]uint64, replica.Buckets)}).encode())
	f.Add((&message{Sender: "x", Type: replica.Heads, Buckets: 3, Versions: []replica.Head{{ID: 1, Copy: 2}}}).encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			return
		}
		r := replica.New(0, replica.Terms{Me: "a", Incarnation: 1, Proxies: 2, Hold: 1, Floor: 0.25}, 1)
		r.Rows(1, m.Sender, m.Rows)
		r.Heads(2, m.Sender, m.Buckets, m.Versions)
		r.Want(3, m.Sender, m.RowIDs)
		r.Tick(replica.Second)
		if again, err := decodeMessage(m.encode()); err != nil || len(again.Rows) != len(m.Rows) {
			t.Errorf("what was read can't be written: %v", err)
		}
	})
}
