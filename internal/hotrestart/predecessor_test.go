package hotrestart

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestQueuedClientIsAcceptedBySuccessor checks that both processes share one listener: the successor accepts a client that
// is in the accept queue when the predecessor closes its listener.
func TestQueuedClientIsAcceptedBySuccessor(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120)) // longer than the path of a Unix socket may be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	listener := tcpListener(t)
	list := `{"rows":"` + strings.Repeat("x", 300_000) + `"}`
	server, counts := openServer(t, dir, testListen, listener, []byte(list))
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, client)
	predecessor := takeOver(t, dir)
	if string(predecessor.EndpointList) != list {
		t.Errorf("endpoint list of %d bytes, want the predecessor's of %d", len(predecessor.EndpointList), len(list))
	}
	expectCounts(t, counts, successorCounts{holding: 1})
	if err := predecessor.NotifyServing(); err != nil {
		t.Error(err)
	}
	expectCounts(t, counts, successorCounts{holding: 1, serving: 1})
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	setDeadline(t, predecessor.Listener, acceptTimeout)
	accepted, err := predecessor.Listener.Accept()
	if err != nil || accepted.RemoteAddr().String() != client.LocalAddr().String() {
		t.Fatal("queued client was not accepted:", err)
	}
	closeAtEnd(t, accepted)
	expectStillWaiting(t, waitInBackground(predecessor))
	server.Close()
}

// TestPredecessorIsReplaceableAfterSuccessorExits checks that a successor can take over after an earlier one took the
// listener and the socket's name and exited without serving: the predecessor has to bind the socket again.
func TestPredecessorIsReplaceableAfterSuccessorExits(t *testing.T) {
	dir := t.TempDir()
	listener := tcpListener(t)
	_, counts := openServer(t, dir, testListen, listener, []byte(nullList))
	for range 2 {
		predecessor := takeOver(t, dir)
		if predecessor.EndpointList != nil {
			t.Errorf("endpoint list %q, want none", predecessor.EndpointList)
		}
		expectCounts(t, counts, successorCounts{holding: 1})
		// The successor takes over the socket's name.
		successor, _ := openServer(t, dir, testListen, predecessor.Listener, []byte(nullList))
		killServer(t, successor)
		predecessor.Disconnect()
		if err := predecessor.Listener.Close(); err != nil {
			t.Error(err)
		}
		expectCounts(t, counts, successorCounts{})
		time.Sleep(reopenDelay)
	}
}

// TestTakeOverWithoutPredecessorFails checks that TakeOver returns ErrNoPredecessor if there is no socket, or only the file
// of the socket of a killed process.
func TestTakeOverWithoutPredecessorFails(t *testing.T) {
	for _, c := range []struct {
		name string
		dir  func(t *testing.T) string
	}{
		{name: "empty directory", dir: func(t *testing.T) string { return t.TempDir() }},
		{name: "no directory", dir: func(t *testing.T) string { return filepath.Join(t.TempDir(), "none") }},
		{name: "killed process", dir: func(t *testing.T) string {
			dir := t.TempDir()
			server, _ := openServer(t, dir, testListen, tcpListener(t), []byte(nullList))
			killServer(t, server)
			if _, err := os.Lstat(filepath.Join(dir, socketName(testListen))); err != nil {
				t.Fatal(err)
			}
			return dir
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := TakeOver(c.dir(t), testListen); !errors.Is(err, ErrNoPredecessor) {
				t.Errorf("TakeOver: error %v, want %v", err, ErrNoPredecessor)
			}
		})
	}
}

// TestPredecessorRefusesHello checks that the predecessor closes the connection in time and without a reply if the hello is
// malformed, late, of another protocol version or for another listen address.
func TestPredecessorRefusesHello(t *testing.T) {
	dir := t.TempDir()
	openServer(t, dir, testListen, tcpListener(t), []byte(nullList))
	for _, c := range []struct{ name, hello string }{
		{name: "another protocol", hello: "GET / HTTP/1.1\r\n\r\n"},
		{name: "another version", hello: `{"woodproxy_handover":2,"listen":"` + testListen + `"}` + "\n"},
		{name: "another address", hello: `{"woodproxy_handover":1,"listen":"10.0.0.5:6379"}` + "\n"},
		{name: "too long", hello: strings.Repeat("x", 9000)},
		{name: "silent", hello: ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dialRaw(t, dir)
			_, _ = io.WriteString(conn, c.hello) // fails if the hello is refused before its end
			setDeadline(t, conn, countTimeout)
			n, err := conn.Read(make([]byte, 9))
			if n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("reply of %d bytes, want a closed connection: %v", n, err)
			}
		})
	}
}

// TestSuccessorRefusesOffer checks that TakeOver fails in time, and with an error other than ErrNoPredecessor, if the offer
// is malformed, late, of another protocol version or for another listen address.
func TestSuccessorRefusesOffer(t *testing.T) {
	passed := tcpListener(t)
	offerOf := func(text string) func(*net.UnixConn) error {
		return func(conn *net.UnixConn) error { return sendWithListener(conn, []byte(text), passed) }
	}
	thenStall := func(reply func(*net.UnixConn) error) func(*net.UnixConn) error {
		return func(conn *net.UnixConn) error {
			if err := reply(conn); err != nil {
				return err
			}
			_, err := io.ReadAll(conn) // until the successor closes the connection
			return err
		}
	}
	nothing := func(*net.UnixConn) error { return nil }
	good, err := json.Marshal(offer{hello: newHello(testListen)})
	if err != nil {
		t.Fatal(err)
	}
	truncated := string(good[:9])
	for _, c := range []struct {
		name  string
		reply func(*net.UnixConn) error
		want  error // nil for any error other than ErrNoPredecessor
	}{
		{name: "silent", reply: thenStall(nothing), want: os.ErrDeadlineExceeded},
		{name: "closed", reply: nothing, want: io.EOF},
		{name: "no listener", reply: func(conn *net.UnixConn) error {
			_, err := conn.Write(append(good, '\n'))
			return err
		}, want: errNoListener},
		{name: "truncated", reply: offerOf(truncated), want: io.ErrUnexpectedEOF},
		{name: "stalls", reply: thenStall(offerOf(truncated)), want: os.ErrDeadlineExceeded},
		{name: "garbled", reply: offerOf("{]\n")},
		{name: "another address", reply: offerOf(`{"woodproxy_handover":1,"listen":"10.0.0.5:6379"}` + "\n"), want: errMismatch},
		{name: "another version", reply: offerOf(`{"woodproxy_handover":7,"listen":"` + testListen + `"}` + "\n"), want: errMismatch},
		{name: "too long", reply: func(conn *net.UnixConn) error {
			// This fails because the offer is refused before its end.
			_ = sendWithListener(conn, make([]byte, 2*maxOfferBytes), passed)
			return nil
		}, want: errTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectRefused(t, c.reply, c.want)
		})
	}
}

// expectRefused checks that TakeOver fails within maxRefusalTime if a raw predecessor calls reply after the hello and then
// closes the connection. The error must not be ErrNoPredecessor, and must wrap want if that is not nil.
func expectRefused(t *testing.T, reply func(*net.UnixConn) error, want error) {
	t.Helper()
	dir := t.TempDir()
	socket := listenRaw(t, dir)
	replied := make(chan error, 1)
	go func() {
		conn, _, _, err := acceptRaw(socket)
		if err != nil {
			replied <- err
			return
		}
		defer func() { _ = conn.Close() }() // ends the reply
		replied <- reply(conn)
	}()
	start := time.Now()
	predecessor, err := TakeOver(dir, testListen)
	if err == nil || errors.Is(err, ErrNoPredecessor) {
		t.Errorf("TakeOver: %+v, error %v, want one other than ErrNoPredecessor", predecessor, err)
	}
	if want != nil && !errors.Is(err, want) {
		t.Errorf("TakeOver: error %v, want %v", err, want)
	}
	if elapsed := time.Since(start); elapsed > maxRefusalTime {
		t.Errorf("refused after %v, want at most %v", elapsed, maxRefusalTime)
	}
	if err := <-replied; err != nil {
		t.Error(err)
	}
}
