package hotrestart

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// In tests with a raw process one side is the program, and the other speaks given bytes by means of its own.

// setDeadline bounds the time of all further reads and writes.
func setDeadline(t *testing.T, conn interface{ SetDeadline(time.Time) error }, timeout time.Duration) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// send writes a text.
func send(t *testing.T, conn *net.UnixConn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// closeWrite ends what the raw process sends.
func closeWrite(t *testing.T, conn *net.UnixConn) {
	t.Helper()
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// dialRaw connects a raw successor to the predecessor's socket.
func dialRaw(t *testing.T, dir string) *net.UnixConn {
	t.Helper()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(dir, goldenSocket), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	setDeadline(t, conn, rawTimeout)
	return conn
}

// listenRaw opens the socket of a raw predecessor.
func listenRaw(t *testing.T, dir string) *net.UnixListener {
	t.Helper()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, goldenSocket), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	setDeadline(t, listener, rawTimeout)
	return listener
}

// receiveRawOffer reads one line and the listener that came with its first byte.
func receiveRawOffer(t *testing.T, conn *net.UnixConn) (string, net.Listener) {
	t.Helper()
	text, control := make([]byte, 64<<10), make([]byte, 256)
	n, controlLen, _, _, err := conn.ReadMsgUnix(text, control)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := syscall.ParseSocketControlMessage(control[:controlLen])
	if err != nil || len(messages) != 1 {
		t.Fatalf("%d control messages: %v", len(messages), err)
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		t.Fatalf("%d descriptors: %v", len(descriptors), err)
	}
	file := os.NewFile(uintptr(descriptors[0]), "listener")
	closeAtEnd(t, file)
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	offer := text[:n]
	for !bytes.HasSuffix(offer, []byte("\n")) {
		if n, err = conn.Read(text); err != nil {
			t.Fatal(err)
		}
		offer = append(offer[:len(offer):len(offer)], text[:n]...)
	}
	return string(offer), listener
}

// sendRawOffer writes a line with a listener at its first byte, as the predecessor does.
func sendRawOffer(conn *net.UnixConn, line string, listener *net.TCPListener) error {
	file, err := listener.File()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // a duplicate
	_, _, err = conn.WriteMsgUnix([]byte(line), syscall.UnixRights(int(file.Fd())), nil)
	return err
}

// acceptRaw accepts one successor and reads its hello, up to the end of its line. The caller closes the connection.
func acceptRaw(listener *net.UnixListener) (conn *net.UnixConn, in *bufio.Reader, hello string, err error) {
	conn, err = listener.AcceptUnix()
	if err != nil {
		return nil, nil, "", err
	}
	if err = conn.SetDeadline(time.Now().Add(rawTimeout)); err == nil {
		in = bufio.NewReader(conn)
		hello, err = in.ReadString('\n')
	}
	if err != nil {
		_ = conn.Close() // the error is told
		return nil, nil, "", err
	}
	return conn, in, hello, nil
}

// rawPredecessorResult is what a raw predecessor saw of one successor.
type rawPredecessorResult struct {
	hello string // up to the end of its line
	rest  string // until the connection's end
	err   error
}

// serveRaw accepts one successor, answers its hello with the offer and reads on until the connection ends. Without an offer it
// closes the connection.
func serveRaw(listener *net.UnixListener, offer string, passed *net.TCPListener) <-chan rawPredecessorResult {
	seen := make(chan rawPredecessorResult, 1)
	go func() {
		var result rawPredecessorResult
		defer func() { seen <- result }()
		conn, in, hello, err := acceptRaw(listener)
		if err != nil {
			result.err = err
			return
		}
		defer func() { _ = conn.Close() }() // all is read
		result.hello = hello
		if offer == "" {
			return
		}
		if result.err = sendRawOffer(conn, offer, passed); result.err != nil {
			return
		}
		rest, err := io.ReadAll(in)
		result.rest, result.err = string(rest), err
	}()
	return seen
}
