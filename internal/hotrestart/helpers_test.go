package hotrestart

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
)

const (
	testListen     = "10.0.0.4:6379"       // listen address in messages, including the golden files
	countTimeout   = 2 * time.Second       // for a notification of the number of successors
	quietPeriod    = 50 * time.Millisecond // after which a channel that is still open is taken to stay open
	maxRefusalTime = 3 * messageTimeout    // for the successor to refuse an offer
	rawTimeout     = 5 * time.Second       // for all reads and writes of a raw peer
	reopenDelay    = 50 * time.Millisecond // for a predecessor to bind its socket again
	acceptTimeout  = 1 * time.Second       // for a queued client to be accepted
	nullList       = "null"                // offer without an endpoint list
)

// successorCounts holds the arguments of one call of a server's notify function.
type successorCounts struct{ holding, serving int }

// closeAtEnd closes a resource at the end of the test. The test may have closed it already.
func closeAtEnd(t *testing.T, resource io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = resource.Close() })
}

// tcpListener returns a listener on the loopback interface.
func tcpListener(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	return listener
}

// openServer opens a server, which is closed at the end of the test. The channel receives the counts of each notification.
func openServer(t *testing.T, dir, listen string, listener *net.TCPListener, list []byte) (*Server, <-chan successorCounts) {
	t.Helper()
	counts := make(chan successorCounts, 16)
	server := NewServer(dir, listen, listener, func() []byte { return list },
		func(holding, serving int) { counts <- successorCounts{holding, serving} },
		ExecutedExchange{Received: func(uint64) {}, Recent: func(func(uint64)) {}},
		zaptest.NewLogger(t, zaptest.Level(zap.ErrorLevel)))
	if err := server.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, counts
}

// killServer closes the socket of a server without removing its file, as the kernel does for a killed process.
func killServer(t *testing.T, server *Server) {
	t.Helper()
	server.socket.mu.Lock()
	defer server.socket.mu.Unlock()
	if err := server.socket.listener.Close(); err != nil {
		t.Error(err)
	}
}

// expectCounts waits for the next notification and checks its counts.
func expectCounts(t *testing.T, counts <-chan successorCounts, want successorCounts) {
	t.Helper()
	select {
	case got := <-counts:
		if got != want {
			t.Errorf("notification with %+v, want %+v", got, want)
		}
	case <-time.After(countTimeout):
		t.Errorf("no notification, want %+v", want)
	}
}

// takeOver takes over from the predecessor that serves testListen. The listener is closed at the end of the test.
func takeOver(t *testing.T, dir string) *Predecessor {
	t.Helper()
	predecessor, err := TakeOver(dir, testListen)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, predecessor.Listener)
	return predecessor
}

// waitInBackground returns a channel that is closed when WaitForExit returns.
func waitInBackground(predecessor *Predecessor) <-chan struct{} {
	exited := make(chan struct{})
	go func() {
		predecessor.WaitForExit(func(uint64) {})
		close(exited)
	}()
	return exited
}

// expectStillWaiting checks that exited is not closed within quietPeriod.
func expectStillWaiting(t *testing.T, exited <-chan struct{}) {
	t.Helper()
	select {
	case <-exited:
		t.Error("WaitForExit returned before the predecessor exited")
	case <-time.After(quietPeriod):
	}
}
