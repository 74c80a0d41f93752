package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/hotrestart"

	"go.uber.org/zap"
)

// restartClient sends requests one after another during hot restarts.
type restartClient struct {
	t          *testing.T
	address    string
	number     int
	reconnects bool // uses a new connection for each request

	conn       net.Conn // nil: not connected
	in         *bufio.Reader
	unanswered int // consecutive requests without a reply
}

// restartTotals counts the requests of all clients.
type restartTotals struct {
	sent       atomic.Int64
	unanswered atomic.Int64
}

// run sends requests until stop is true, or until a request or connection fails the test.
func (c *restartClient) run(stop *atomic.Bool, totals *restartTotals) {
	defer c.disconnect()
	for i := 0; !stop.Load(); i++ {
		if !c.connect() || !c.request(fmt.Sprintf("n%d-%d", c.number, i), totals) {
			return
		}
		time.Sleep(time.Duration(c.number) * time.Millisecond)
	}
}

// connect connects if there is no connection. Before that it checks whether the proxy has closed the current connection.
func (c *restartClient) connect() bool {
	if c.conn != nil {
		if err := c.conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
			c.t.Error(err)
			return false
		}
		if _, err := c.in.Peek(1); errors.Is(err, io.EOF) {
			c.disconnect()
		}
	}
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			c.t.Error("connection not accepted:", err)
			return false
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		c.t.Error(err)
		return false
	}
	return true
}

func (c *restartClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the proxy may have closed it
		c.conn = nil
	}
}

// request sends one request and reads its reply. It returns false if the client has to stop.
func (c *restartClient) request(id string, totals *restartTotals) bool {
	totals.sent.Add(1)
	_, _ = c.conn.Write(encodeGet("k", id, defaultTimeoutMS)) // after a failed write there is no reply
	head, body, err := emulator.ReadElement(c.in)
	switch {
	case err != nil:
		totals.unanswered.Add(1)
		if c.unanswered++; c.unanswered > 1 {
			c.t.Error("two consecutive requests without a reply:", err)
			return false
		}
	case head[0] == '$' && body != "c1:"+id:
		c.t.Errorf("got %q, want the value for %s", body, id)
	default:
		c.unanswered = 0
	}
	if err != nil || c.reconnects {
		c.disconnect()
	}
	return true
}

// TestHotRestartUnderLoad runs two hot restarts under load. All connections must be accepted, and all requests answered,
// both on persistent connections and on new ones. The only exception is a request that crosses a close: it gets no reply
// and is retried.
func TestHotRestartUnderLoad(t *testing.T) {
	t.Parallel()
	h := startedHarness(t, "node c1 hit slow=5")
	var clients sync.WaitGroup
	var stop atomic.Bool
	totals := &restartTotals{}
	for n := range 24 {
		client := &restartClient{t: t, address: h.clientAddress, number: n, reconnects: n%2 == 0}
		clients.Go(func() { client.run(&stop, totals) })
	}
	time.Sleep(200 * time.Millisecond)
	h.runLines(9, "replace", "replace")
	stop.Store(true)
	clients.Wait()
	if sent, unanswered := totals.sent.Load(), totals.unanswered.Load(); sent < 300 || unanswered > sent/50 {
		t.Errorf("got %d requests, %d without a reply; want at least 300, at most 2%% without a reply", sent, unanswered)
	}
	h.Finish()
}

// TestSuccessorInheritsEndpoints checks that a successor uses the endpoint list of its predecessor while discovery does not
// respond, although the list in the configuration is outdated. Draining endpoints are not used.
func TestSuccessorInheritsEndpoints(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.runLines(0,
		"node c1 hit", "node c2 hit", "node o1 hit", "list c1 c2 o1", "start known=c1,c2,o1",
		"list c2:leaving", "pause 100", "discovery cut", "discovery silent",
		"replace", "b get k times=5", "b gets value from=c1 times=5", "expect c2 = 0",
	)
	h.Finish()
}

// TestPredecessorResumesWhenSuccessorDies checks that a process accepts clients again after a successor inherited its
// listener, notified it that it serves clients, and died.
func TestPredecessorResumesWhenSuccessorDies(t *testing.T) {
	t.Parallel()
	h := startedHarness(t, "node c1 hit slow=5")
	successor, err := hotrestart.TakeOver(h.hotRestartDir, h.clientAddress)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.NotifyServing(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	h.runLines(9, "a ping", "a gets nothing") // no process accepts the connection now
	if err := successor.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	successor.Disconnect()
	h.runLines(19, "a gets pong", "a get k", "a gets value", "replace", "b get k", "b gets value")
	h.Finish()
}

// TestRestartWithoutHotRestartSocket checks that a process can be replaced if its hot-restart socket can't be created: both
// processes listen on the address.
func TestRestartWithoutHotRestartSocket(t *testing.T) {
	t.Parallel()
	h := startedHarness(t, "node c1 hit slow=5")
	h.hotRestartDir = t.TempDir()
	writeFile(t, filepath.Join(h.hotRestartDir, "woodproxy"), "")
	h.runLines(9, "replace", "a get k", "a gets value")
	h.Finish()
}

// TestUnreadableInheritedEndpoints checks that a process starts without the endpoint list of its predecessor if it can't be
// decoded.
func TestUnreadableInheritedEndpoints(t *testing.T) {
	t.Parallel()
	for name, list := range map[string]string{
		"mistyped index":        `{"index":"x","endpoints":[]}`,
		"endpoint without name": `{"index":1,"endpoints":[{"name":""}]}`,
		"no object":             `7`,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.runLines(0, "node c1 hit", "node o1 hit", "list c1 o1")
			h.configure("")
			listener, err := net.Listen("tcp", h.clientAddress)
			if err != nil {
				t.Fatal(err)
			}
			encodeList := func() []byte { return []byte(list) }
			predecessor := hotrestart.NewServer(h.hotRestartDir, h.clientAddress, listener.(*net.TCPListener), encodeList,
				func(int, int) {}, hotrestart.ExecutedExchange{Received: func(uint64) {}, Recent: func(func(uint64)) {}}, zap.NewNop())
			if err := predecessor.Open(); err != nil {
				t.Fatal(err)
			}
			h.run()
			h.call("GET", "/control/ready", "200", "")
			if err := listener.Close(); err != nil { // its backlog passes to the successor
				t.Fatal(err)
			}
			h.runLines(19, "a get k", "a gets value")
			h.Finish()
			predecessor.Close()
		})
	}
}
