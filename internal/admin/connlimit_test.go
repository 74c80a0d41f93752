package admin

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

const testTimeout = 5 * time.Second // to connect

// limitedListener returns a listener on the loopback interface that keeps at most limit connections open.
func limitedListener(t *testing.T, limit int) *connLimiter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return newConnLimiter(listener, limit)
}

// connect returns both ends of a new connection.
func connect(t *testing.T, listener *connLimiter) (client, accepted net.Conn) {
	t.Helper()
	client, err := net.DialTimeout("tcp", listener.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return client, accepted
}

// isOpen reports whether the other end has not closed the connection. It waits 50 ms for a close that is under way.
func isOpen(t *testing.T, conn net.Conn) bool {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func TestConnLimiterEvictsOldestAboveLimit(t *testing.T) {
	listener := limitedListener(t, 2)
	var clients []net.Conn
	for range 4 {
		client, _ := connect(t, listener)
		clients = append(clients, client)
	}
	for i, wantOpen := range []bool{false, false, true, true} {
		if got := isOpen(t, clients[i]); got != wantOpen {
			t.Errorf("connection %d: open %v, want %v", i, got, wantOpen)
		}
	}
	if len(listener.open) != 2 {
		t.Errorf("%d connections are counted, want 2", len(listener.open))
	}
}

func TestConnLimiterReusesSlotOfClosedConnection(t *testing.T) {
	listener := limitedListener(t, 2)
	first, _ := connect(t, listener)
	_, second := connect(t, listener)
	for range 2 { // the second Close must not free another slot
		_ = second.Close()
	}
	third, _ := connect(t, listener)
	for name, client := range map[string]net.Conn{"first": first, "third": third} {
		if !isOpen(t, client) {
			t.Errorf("%s connection was evicted, want it open since a slot was free", name)
		}
	}
	if len(listener.open) != 2 {
		t.Errorf("%d connections are counted, want 2", len(listener.open))
	}
}
