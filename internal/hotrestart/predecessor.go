package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// readBufferBytes is how much of an offer is read at once.
const readBufferBytes = 64 << 10

// ErrNoPredecessor reports that no process serves the address: the directory, the socket in it or a process behind the socket is
// missing.
var ErrNoPredecessor = errors.New("no predecessor to take over from")

// Predecessor is the predecessor, as its successor sees it. All of its methods may be called from any goroutine.
type Predecessor struct {
	Listener     *net.TCPListener // the clients', shared with the predecessor; the caller closes it
	EndpointList []byte           // the predecessor's endpoint list, in the form of the discovery service; nil: none
	conn         *net.UnixConn
}

// TakeOver connects to the process that serves the address and takes its listener and list. The directory is where both processes
// meet. It returns [ErrNoPredecessor] where there is no such process. An answer is waited for half a second at most. The caller ends
// the connection with [Predecessor.WaitForExit] or [Predecessor.Disconnect].
func TakeOver(dir, listen string) (*Predecessor, error) {
	conn, err := dialPredecessor(dir, listen)
	if err != nil {
		return nil, err
	}
	predecessor, err := requestOffer(conn, listen)
	if err != nil {
		_ = conn.Close() // the error is told, and the predecessor serves on
		return nil, err
	}
	return predecessor, nil
}

// dialPredecessor connects to the socket of the process that serves the address.
func dialPredecessor(dir, listen string) (*net.UnixConn, error) {
	open, err := os.Open(dir)
	if err != nil {
		return nil, ErrNoPredecessor
	}
	defer func() { _ = open.Close() }() // only read
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: socketPath(open, listen), Net: "unix"})
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) { // a socket that was left behind refuses
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// requestOffer sends the hello and takes the offer. The connection stays the caller's if there is an error.
func requestOffer(conn *net.UnixConn, listen string) (*Predecessor, error) {
	if err := checkPeerUser(conn); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(messageTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if err := json.NewEncoder(conn).Encode(newHello(listen)); err != nil { // which ends the line
		return nil, fmt.Errorf("send hello: %w", err)
	}
	listener, list, err := receiveOffer(conn, listen)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = listener.Close() // the predecessor still has it
		return nil, fmt.Errorf("clear deadline: %w", err)
	}
	return &Predecessor{Listener: listener, EndpointList: list, conn: conn}, nil
}

// receiveOffer reads the offer. The caller owns the listener.
func receiveOffer(conn *net.UnixConn, listen string) (listener *net.TCPListener, list []byte, err error) {
	buffer := make([]byte, readBufferBytes)
	n, listener, err := receiveWithListener(conn, buffer)
	if err != nil {
		return nil, nil, fmt.Errorf("receive offer: %w", err)
	}
	list, err = receiveEndpointList(conn, buffer, n, listen)
	if err != nil {
		_ = listener.Close() // the predecessor still has it
		return nil, nil, err
	}
	return listener, list, nil
}

// receiveEndpointList reads the rest of the offer, of which n bytes are in the buffer, and returns its list.
func receiveEndpointList(conn *net.UnixConn, buffer []byte, n int, listen string) ([]byte, error) {
	line := bytes.Clone(buffer[:n])
	for !bytes.HasSuffix(line, []byte("\n")) {
		if len(line) > maxOfferBytes {
			return nil, fmt.Errorf("receive offer: %w: more than %d bytes", errTooLong, maxOfferBytes)
		}
		n, err := conn.Read(buffer)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, fmt.Errorf("receive offer: %w", err)
		}
		line = append(line, buffer[:n]...)
	}
	return decodeOffer(line, listen)
}

// NotifyServing notifies the predecessor that this process accepts clients, so that it need not any more.
func (p *Predecessor) NotifyServing() error {
	_, err := io.WriteString(p.conn, servingMessage)
	return err
}

// WaitForExit blocks until the predecessor has exited, or until [Predecessor.Disconnect].
func (p *Predecessor) WaitForExit() {
	waitForEnd(p.conn)
	_ = p.conn.Close() // nothing is owed to a process that has gone
}

// Disconnect ends the connection. The predecessor goes on as if this process had exited.
func (p *Predecessor) Disconnect() {
	_ = p.conn.Close() // the kernel closes it at the latest when the process exits
}

// waitForEnd blocks until the connection ends. The other process sends nothing more by then, so that one read is enough.
func waitForEnd(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1)) // any outcome is the end
}
