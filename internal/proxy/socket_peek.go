package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// control calls a function with a connection's file descriptor. It does nothing if the connection has none or is closed.
func control(conn net.Conn, call func(fd int)) {
	withFD, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withFD.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { call(int(fd)) }) // fails only on a closed connection; call is not executed then
}

// peek checks for input on a connection without consuming it. It does not block, whatever the connection's deadline. It
// returns n = 1 if there is unread input, n = 0 at the end of the input, and syscall.EAGAIN if nothing has arrived.
func peek(conn net.Conn) (n int, err error) {
	err = syscall.EAGAIN
	control(conn, func(fd int) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, err
}

// peekBytes returns at most n bytes of the input on a connection without consuming them. It does not block.
func peekBytes(conn net.Conn, n int) []byte {
	b, count := make([]byte, n), 0
	control(conn, func(fd int) {
		var err error
		if count, _, err = syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != nil {
			count = 0
		}
	})
	return b[:count]
}

// inputState is the state of a connection's input.
type inputState uint8

const (
	inputNone   inputState = iota // nothing has arrived
	inputUnread                   // bytes have arrived and have not been read
	inputEnded                    // the peer has closed the connection, or it has failed, and nothing is left to read
)

// peekState returns the state of a connection's input.
func peekState(conn net.Conn) inputState {
	return classifyPeek(peek(conn))
}

// classifyPeek returns the input state for the result of peek.
func classifyPeek(n int, err error) inputState {
	switch {
	case n > 0:
		return inputUnread
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return inputNone
	case errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.ENOBUFS): // the next read or write reports the state
		return inputNone
	}
	return inputEnded
}

// maxInputAge is the greatest plausible age of input. The value is meaningless for a connection that has had no input.
const maxInputAge = time.Minute

// sinceLastInput returns the time since the kernel received the last bytes on a connection, or 0 if it is unknown.
func sinceLastInput(conn net.Conn) time.Duration {
	age := time.Duration(0)
	control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if age > maxInputAge {
		return 0
	}
	return age
}

// unreadBytes returns the number of bytes that have arrived and have not been read, or 0 if the system does not report it.
func unreadBytes(conn net.Conn) (n int) {
	control(conn, func(fd int) {
		if count, err := unix.IoctlGetInt(fd, unix.SIOCINQ); err == nil {
			n = count
		}
	})
	return n
}

// unsentBytes returns the number of written bytes that the peer's machine has not acknowledged yet. known is false if the
// system does not report it.
func unsentBytes(conn net.Conn) (n int, known bool) {
	control(conn, func(fd int) {
		var err error
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		known = err == nil
	})
	return n, known
}

// hasUnread reports whether bytes have arrived that have not been read.
func hasUnread(conn net.Conn) bool { return peekState(conn) == inputUnread }

// closedByPeer reports whether the peer has closed the connection, or it has failed, and nothing is left to read.
func closedByPeer(conn net.Conn) bool { return peekState(conn) == inputEnded }

// hungUpByPeer reports whether the peer has closed the connection, even if there are bytes left to read.
func hungUpByPeer(conn net.Conn) bool {
	hungUp, known := false, false
	control(conn, func(fd int) {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(descriptors, 0)
		hungUp, known = err == nil && n > 0, err == nil
	})
	return hungUp || !known && closedByPeer(conn)
}
