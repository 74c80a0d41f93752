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
	testListen     = "10.0.0.4:6379"       // the listen address in messages, golden files among them
	countTimeout   = 2 * time.Second       // for a change of the number of successors
	quietPeriod   = 50 * time.Millisecond // after which something that waits is taken to wait for good
	maxRefusalTime = 3 * messageTimeout    // to refuse an offer
	rawTimeout     = 5 * time.Second       // for all that a raw process does
	reopenDelay     = 50 * time.Millisecond // for a process to take the socket's name back
	acceptTimeout     = 1 * time.Second       // for a client in the queue to be accepted
	nullList       = "null"                // no endpoint list
)

// successorCounts is what a server notifies of.
type successorCounts struct{ holding, serving int }

// closeAtEnd closes a resource at the test's end. It may be closed before.
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

// openServer starts the predecessor's side. The channel receives the number of successors at each change.
func openServer(t *testing.T, dir, listen string, listener *net.TCPListener, list []byte) (*Server, <-chan successorCounts) {
	t.Helper()
	counts := make(chan successorCounts, 16)
	server := NewServer(dir, listen, listener, func() []byte { return list },
		func(holding, serving int) { counts <- successorCounts{holding, serving} },
		zaptest.NewLogger(t, zaptest.Level(zap.ErrorLevel)))
	if err := server.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, counts
}

// killServer closes the socket of a server and leaves its name, as the end of a killed process does.
func killServer(t *testing.T, server *Server) {
	t.Helper()
	server.socket.mu.Lock()
	defer server.socket.mu.Unlock()
	if err := server.socket.listener.Close(); err != nil {
		t.Error(err)
	}
}

// expectCounts waits for the next change of the number of successors.
func expectCounts(t *testing.T, counts <-chan successorCounts, want successorCounts) {
	t.Helper()
	select {
	case got := <-counts:
		if got != want {
			t.Errorf("notified of %+v, want %+v", got, want)
		}
	case <-time.After(countTimeout):
		t.Errorf("not notified, want %+v", want)
	}
}

// takeOver takes over from the process that serves testListen. The listener is closed at the test's end.
func takeOver(t *testing.T, dir string) *Predecessor {
	t.Helper()
	predecessor, err := TakeOver(dir, testListen)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, predecessor.Listener)
	return predecessor
}

// waitInBackground waits for the predecessor's exit. The channel is closed then.
func waitInBackground(predecessor *Predecessor) <-chan struct{} {
	exited := make(chan struct{})
	go func() {
		predecessor.WaitForExit()
		close(exited)
	}()
	return exited
}

// expectStillWaiting checks that a channel is not closed soon.
func expectStillWaiting(t *testing.T, exited <-chan struct{}) {
	t.Helper()
	select {
	case <-exited:
		t.Error("the predecessor's exit is reported before it")
	case <-time.After(quietPeriod):
	}
}
