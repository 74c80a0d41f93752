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
	rest         []byte          // bytes that were read behind the offer
	readsHashes  bool            // the predecessor reads executed messages
	sender       *executedSender // nil: the predecessor does not read them
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
	predecessor, err := receiveOffer(conn, listen)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = predecessor.Listener.Close() // a duplicate of the predecessor's
		return nil, fmt.Errorf("clear deadline: %w", err)
	}
	if predecessor.readsHashes {
		predecessor.sender = newExecutedSender(conn)
	}
	return predecessor, nil
}

// receiveOffer reads the offer. The caller has to close the listener.
func receiveOffer(conn *net.UnixConn, listen string) (*Predecessor, error) {
	buffer := make([]byte, readBufferBytes)
	n, listener, err := receiveWithListener(conn, buffer)
	if err != nil {
		return nil, fmt.Errorf("receive offer: %w", err)
	}
	o, rest, err := receiveOfferLine(conn, buffer, n, listen)
	if err != nil {
		_ = listener.Close() // a duplicate of the predecessor's
		return nil, err
	}
	return &Predecessor{Listener: listener, EndpointList: o.EndpointList, conn: conn, rest: rest, readsHashes: o.ReadsHashes}, nil
}

// receiveOfferLine reads the rest of an offer whose first n bytes are in the buffer, and returns it with the bytes that have
// been read behind it. It fails with errTooLong if the line has not ended after maxOfferBytes.
func receiveOfferLine(conn *net.UnixConn, buffer []byte, n int, listen string) (o offer, rest []byte, err error) {
	received := bytes.Clone(buffer[:n])
	for {
		if line, rest, ended := bytes.Cut(received, []byte("\n")); ended {
			o, err := decodeOffer(line, listen)
			return o, rest, err
		}
		if len(received) > maxOfferBytes {
			return offer{}, nil, fmt.Errorf("receive offer: %w: more than %d bytes", errTooLong, maxOfferBytes)
		}
		n, err := conn.Read(buffer)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return offer{}, nil, fmt.Errorf("receive offer: %w", err)
		}
		received = append(received, buffer[:n]...)
	}
}

// NotifyServing notifies the predecessor that this process accepts clients, so that the predecessor can stop accepting them.
func (p *Predecessor) NotifyServing() error {
	if err := p.conn.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(p.conn, servingMessage+"\n")
	return err
}

// SendExecuted sends the hash of the id of a request that must not run twice to the predecessor. It does not block.
func (p *Predecessor) SendExecuted(hash uint64) {
	if p.sender != nil {
		p.sender.send(hash)
	}
}

// WaitForExit blocks until the predecessor exits or [Predecessor.Disconnect] is called, and closes the connection. Meanwhile
// it calls executed for each hash that the predecessor sends.
func (p *Predecessor) WaitForExit(executed func(hash uint64)) {
	newMessageReader(io.MultiReader(bytes.NewReader(p.rest), p.conn), executed).awaitEnd()
	p.Disconnect() // the other process has exited, so a failed close loses nothing
}

// Disconnect closes the connection. The predecessor goes on as if this process had exited.
func (p *Predecessor) Disconnect() {
	if p.sender != nil {
		p.sender.close()
	}
	_ = p.conn.Close() // the kernel closes it when the process exits, at the latest
}
