package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// control runs a function on a connection's file descriptor. It does nothing for connections that have none, and for
// those that are closed.
func control(conn net.Conn, call func(fd int)) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { call(int(fd)) }) // fails only on a closed connection, where call is not run
}

// peek looks at what has arrived on a connection without taking it, and without waiting whatever its deadline. It
// returns syscall.EAGAIN if nothing has arrived.
func peek(conn net.Conn) (n int, err error) {
	err = syscall.EAGAIN
	control(conn, func(fd int) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, err
}

// inputState is what there is to read on a connection.
type inputState uint8

const (
	inputNone   inputState = iota // nothing has arrived
	inputUnread                   // bytes have arrived that were not read
	inputEnded                    // the other side has closed the connection, with nothing left to read
)

// peekState returns what there is to read on a connection.
func peekState(conn net.Conn) inputState {
	return inputOf(peek(conn))
}

// inputOf returns what a look at a connection's input tells.
func inputOf(n int, err error) inputState {
	switch {
	case n > 0:
		return inputUnread
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return inputNone
	case errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.ENOBUFS): // the next read or write will tell
		return inputNone
	}
	return inputEnded
}

// maxInputAge is the greatest age of input that is believed: a connection without any input reports nonsense.
const maxInputAge = time.Minute

// sinceLastInput returns how long ago the kernel received the last bytes on a connection, 0 where it does not tell.
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

// unsentBytes returns how many bytes that were written the peer's machine has not taken yet, and false where the system
// does not tell.
func unsentBytes(conn net.Conn) (n int, known bool) {
	control(conn, func(fd int) {
		var err error
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		known = err == nil
	})
	return n, known
}

// hasUnread reports whether bytes have arrived that were not read.
func hasUnread(conn net.Conn) bool { return peekState(conn) == inputUnread }

// closedByPeer reports whether the other side has closed the connection, with nothing left to read.
func closedByPeer(conn net.Conn) bool { return peekState(conn) == inputEnded }

// hungUpByPeer reports whether the other side has closed the connection, be there bytes left to read or not.
func hungUpByPeer(conn net.Conn) bool {
	hungUp := false
	control(conn, func(fd int) {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(descriptors, 0)
		hungUp = err == nil && n > 0
	})
	return hungUp || closedByPeer(conn)
}
