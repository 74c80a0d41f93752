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

// A raw peer takes the place of one of the two processes. It exchanges given bytes without the message code of the package.

// setDeadline limits the time of all further reads, writes and accepts on conn.
func setDeadline(t *testing.T, conn interface{ SetDeadline(time.Time) error }, timeout time.Duration) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// send writes a text to the connection.
func send(t *testing.T, conn *net.UnixConn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// closeWrite closes the sending side of a raw peer's connection.
func closeWrite(t *testing.T, conn *net.UnixConn) {
	t.Helper()
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// dialRaw connects a raw successor to the socket for testListen in dir.
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

// listenRaw opens the socket for testListen in dir for a raw predecessor.
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

// receiveRawOffer reads one line and returns it with the listener that was passed with its first byte.
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

// sendRawOffer writes a line and passes a listener with its first byte, as the predecessor does.
func sendRawOffer(conn *net.UnixConn, line string, listener *net.TCPListener) error {
	file, err := listener.File()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // a duplicate of the listener's descriptor
	_, _, err = conn.WriteMsgUnix([]byte(line), syscall.UnixRights(int(file.Fd())), nil)
	return err
}

// acceptRaw accepts one successor and reads the line of its hello. The caller has to close the connection.
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
		_ = conn.Close() // the first error is returned
		return nil, nil, "", err
	}
	return conn, in, hello, nil
}

// rawPredecessorResult is the data that a raw predecessor received from one successor.
type rawPredecessorResult struct {
	hello string // first line, with its line break
	rest  string // data after the hello, up to the end of the connection
	err   error
}

// serveRaw accepts one successor, replies to its hello with the offer and the listener passed, and reads until the
// connection ends. If the offer is empty, it closes the connection after the hello. The channel receives the result.
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
		defer func() { _ = conn.Close() }() // all data was read, or the error is in the result
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
