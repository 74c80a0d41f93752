package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// maxControlBytes is the size of the buffer for control messages, larger than the control message of one descriptor.
const maxControlBytes = 256

var (
	errNoListener  = errors.New("offer without a listener")
	errForeignUser = errors.New("process runs as another user")
)

// sendWithListener writes a message and passes the listener's descriptor with its first byte.
func sendWithListener(conn *net.UnixConn, message []byte, listener *net.TCPListener) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var (
		sent     int
		writeErr error
	)
	// Control keeps the descriptor open, so that its number can't be reused before it is sent.
	err = raw.Control(func(fd uintptr) {
		sent, _, writeErr = conn.WriteMsgUnix(message, syscall.UnixRights(int(fd)), nil)
	})
	if err = errors.Join(err, writeErr); err != nil {
		return err
	}
	if sent < len(message) {
		_, err = conn.Write(message[sent:])
	}
	return err
}

// receiveWithListener reads the first part of a message into the buffer and returns its length and the listener that was
// passed with it. The caller has to close the listener.
func receiveWithListener(conn *net.UnixConn, buffer []byte) (n int, listener *net.TCPListener, err error) {
	control := make([]byte, maxControlBytes)
	n, controlLen, _, _, err := conn.ReadMsgUnix(buffer, control)
	if err != nil {
		return 0, nil, err
	}
	listener, err = parseListener(control[:controlLen])
	return n, listener, err
}

// parseListener returns the TCP listener whose descriptor is in a control message. It fails with errNoListener if the
// control message has no such descriptor.
func parseListener(control []byte) (*net.TCPListener, error) {
	descriptor, err := parseDescriptor(control)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), "listener")
	defer func() { _ = file.Close() }() // FileListener has duplicated the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor in offer: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close() // only a TCP listener can be used
		return nil, fmt.Errorf("descriptor in offer: %w: got a %T", errNoListener, listener)
	}
	return tcp, nil
}

// parseDescriptor returns the descriptor in a control message. It fails with errNoListener unless there is exactly one.
func parseDescriptor(control []byte) (int, error) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNoListener, err)
	}
	if len(messages) != 1 {
		return 0, fmt.Errorf("%w: %d control messages", errNoListener, len(messages))
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNoListener, err)
	}
	if len(descriptors) != 1 {
		return 0, fmt.Errorf("%w: %d descriptors", errNoListener, len(descriptors))
	}
	return descriptors[0], nil
}

// checkPeerUser returns errForeignUser unless the process at the other end of the connection runs as the same user as this
// process.
func checkPeerUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("peer credentials: %w", err)
	}
	var (
		peer     *syscall.Ucred
		ucredErr error
	)
	err = raw.Control(func(fd uintptr) {
		peer, ucredErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, ucredErr); err != nil {
		return fmt.Errorf("peer credentials: %w", err)
	}
	if int(peer.Uid) != os.Getuid() {
		return fmt.Errorf("%w: uid %d", errForeignUser, peer.Uid)
	}
	return nil
}
