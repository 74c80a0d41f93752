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

// Both processes hold one listener: a client that waits in its queue when the predecessor closes it is accepted by the successor.
func TestQueuedClientIsAcceptedBySuccessor(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120)) // longer than a socket's name may be
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
		t.Errorf("a list of %d bytes, want the predecessor's of %d", len(predecessor.EndpointList), len(list))
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
		t.Fatal("the client in the queue is not accepted", err)
	}
	closeAtEnd(t, accepted)
	expectStillWaiting(t, waitInBackground(predecessor))
	server.Close()
}

// A successor that takes the listener and exits without serving leaves the predecessor as it was, so that it can be replaced
// again.
func TestPredecessorIsReplaceableAfterSuccessorExits(t *testing.T) {
	dir := t.TempDir()
	listener := tcpListener(t)
	_, counts := openServer(t, dir, testListen, listener, []byte(nullList))
	for range 2 {
		predecessor := takeOver(t, dir)
		if predecessor.EndpointList != nil {
			t.Errorf("list %q, want none", predecessor.EndpointList)
		}
		expectCounts(t, counts, successorCounts{holding: 1})
		successor, _ := openServer(t, dir, testListen, predecessor.Listener, []byte(nullList)) // takes the socket's name over
		killServer(t, successor)
		predecessor.Disconnect()
		if err := predecessor.Listener.Close(); err != nil {
			t.Error(err)
		}
		expectCounts(t, counts, successorCounts{})
		time.Sleep(reopenDelay)
	}
}

// There is no predecessor where nobody listens or only the socket's name is left of a killed process.
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
				t.Errorf("error %v, want %v", err, ErrNoPredecessor)
			}
		})
	}
}

// A malformed, late or foreign hello ends the connection soon and without an answer.
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
			_, _ = io.WriteString(conn, c.hello) // may be refused before its end
			setDeadline(t, conn, countTimeout)
			n, err := conn.Read(make([]byte, 9))
			if n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("answered with %d bytes: %v", n, err)
			}
		})
	}
}

// A malformed, late or foreign offer is an error soon, and not the error that there is no predecessor.
func TestSuccessorRefusesOffer(t *testing.T) {
	passed := tcpListener(t)
	offerOf := func(text string) func(*net.UnixConn) error {
		return func(conn *net.UnixConn) error { return sendWithListener(conn, []byte(text), passed) }
	}
	thenStall := func(answer func(*net.UnixConn) error) func(*net.UnixConn) error {
		return func(conn *net.UnixConn) error {
			if err := answer(conn); err != nil {
				return err
			}
			_, err := io.ReadAll(conn) // until the successor gives up
			return err
		}
	}
	nothing := func(*net.UnixConn) error { return nil }
	good, err := json.Marshal(offer{hello: newHello(testListen)})
	if err != nil {
		t.Fatal(err)
	}
	torn := string(good[:9])
	for _, c := range []struct {
		name   string
		answer func(*net.UnixConn) error
		want   error // nil: any
	}{
		{name: "silent", answer: thenStall(nothing), want: os.ErrDeadlineExceeded},
		{name: "closed", answer: nothing, want: io.EOF},
		{name: "no listener", answer: func(conn *net.UnixConn) error {
			_, err := conn.Write(append(good, '\n'))
			return err
		}, want: errNoListener},
		{name: "torn", answer: offerOf(torn), want: io.ErrUnexpectedEOF},
		{name: "stalls", answer: thenStall(offerOf(torn)), want: os.ErrDeadlineExceeded},
		{name: "garbled", answer: offerOf("{]\n")},
		{name: "another address", answer: offerOf(`{"woodproxy_handover":1,"listen":"10.0.0.5:6379"}` + "\n"), want: errMismatch},
		{name: "another version", answer: offerOf(`{"woodproxy_handover":7,"listen":"` + testListen + `"}` + "\n"), want: errMismatch},
		{name: "too long", answer: func(conn *net.UnixConn) error {
			_ = sendWithListener(conn, make([]byte, 2*maxOfferBytes), passed) // refused before its end
			return nil
		}, want: errTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectRefused(t, c.answer, c.want)
		})
	}
}

// expectRefused takes over from a raw predecessor that answers the hello in the given way and then closes the connection. The error
// has to be the wanted one, if any.
func expectRefused(t *testing.T, answer func(*net.UnixConn) error, want error) {
	t.Helper()
	dir := t.TempDir()
	socket := listenRaw(t, dir)
	answered := make(chan error, 1)
	go func() {
		conn, _, _, err := acceptRaw(socket)
		if err != nil {
			answered <- err
			return
		}
		defer func() { _ = conn.Close() }() // the end of the answer
		answered <- answer(conn)
	}()
	start := time.Now()
	predecessor, err := TakeOver(dir, testListen)
	if err == nil || errors.Is(err, ErrNoPredecessor) {
		t.Errorf("took over from %+v: %v", predecessor, err)
	}
	if want != nil && !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
	if elapsed := time.Since(start); elapsed > maxRefusalTime {
		t.Errorf("refused after %v, want at most %v", elapsed, maxRefusalTime)
	}
	if err := <-answered; err != nil {
		t.Error(err)
	}
}
