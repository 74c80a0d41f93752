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

// readBufferBytes is the size of the buffer for reading an offer.
const readBufferBytes = 64 << 10

// ErrNoPredecessor reports that no process serves the listen address: the directory or the socket in it does not exist, or
// no process accepts connections on the socket.
var ErrNoPredecessor = errors.New("no predecessor to take over from")

// Predecessor is a successor's connection to its predecessor, with the listener and endpoint list taken from it. All methods
// may be called from any goroutine.
type Predecessor struct {
	Listener     *net.TCPListener // client listener, shared with the predecessor; the caller closes it
	EndpointList []byte           // list of the predecessor in the JSON form of the discovery service; nil if it has none
	conn         *net.UnixConn
}

// TakeOver connects to the process that serves the address listen and takes its listener and endpoint list. The directory
// dir is the one that both processes share. TakeOver fails with [ErrNoPredecessor] if there is no such process, and waits at
// most 0.5 seconds for the offer. The caller has to end the connection with [Predecessor.WaitForExit] or
// [Predecessor.Disconnect].
func TakeOver(dir, listen string) (*Predecessor, error) {
	conn, err := dialPredecessor(dir, listen)
	if err != nil {
		return nil, err
	}
	predecessor, err := requestOffer(conn, listen)
	if err != nil {
		_ = conn.Close() // the first error is returned, and the predecessor goes on serving
		return nil, err
	}
	return predecessor, nil
}

// dialPredecessor connects to the socket of the process that serves the address listen. It fails with ErrNoPredecessor if
// there is no such process.
func dialPredecessor(dir, listen string) (*net.UnixConn, error) {
	open, err := os.Open(dir)
	if err != nil {
		return nil, ErrNoPredecessor
	}
	defer func() { _ = open.Close() }() // the directory was opened for reading
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: socketPath(open, listen), Net: "unix"})
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) { // a killed process's socket refuses
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// requestOffer sends the hello and receives the offer. After an error the caller has to close the connection.
func requestOffer(conn *net.UnixConn, listen string) (*Predecessor, error) {
	if err := checkPeerUser(conn); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(messageTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if err := json.NewEncoder(conn).Encode(newHello(listen)); err != nil { // Encode ends the line
		return nil, fmt.Errorf("send hello: %w", err)
	}
	listener, list, err := receiveOffer(conn, listen)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = listener.Close() // a duplicate of the predecessor's
		return nil, fmt.Errorf("clear deadline: %w", err)
	}
	return &Predecessor{Listener: listener, EndpointList: list, conn: conn}, nil
}

// receiveOffer reads the offer and returns its listener and endpoint list. The caller has to close the listener.
func receiveOffer(conn *net.UnixConn, listen string) (listener *net.TCPListener, list []byte, err error) {
	buffer := make([]byte, readBufferBytes)
	n, listener, err := receiveWithListener(conn, buffer)
	if err != nil {
		return nil, nil, fmt.Errorf("receive offer: %w", err)
	}
	list, err = receiveEndpointList(conn, buffer, n, listen)
	if err != nil {
		_ = listener.Close() // a duplicate of the predecessor's
		return nil, nil, err
	}
	return listener, list, nil
}

// receiveEndpointList reads the rest of an offer whose first n bytes are in the buffer, and returns its endpoint list, or
// nil if it has none. It fails with errTooLong if the line has not ended after maxOfferBytes.
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

// NotifyServing notifies the predecessor that this process accepts clients, so that the predecessor can stop accepting them.
func (p *Predecessor) NotifyServing() error {
	_, err := io.WriteString(p.conn, servingMessage)
	return err
}

// WaitForExit blocks until the predecessor exits or [Predecessor.Disconnect] is called, and closes the connection.
func (p *Predecessor) WaitForExit() {
	waitForEnd(p.conn)
	_ = p.conn.Close() // the other process has exited, so a failed close loses nothing
}

// Disconnect closes the connection. The predecessor goes on as if this process had exited.
func (p *Predecessor) Disconnect() {
	_ = p.conn.Close() // the kernel closes it when the process exits, at the latest
}

// waitForEnd blocks until the connection ends. The other process sends no further message, so the first read to return marks
// the end.
func waitForEnd(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1)) // any result means that the connection has ended
}
