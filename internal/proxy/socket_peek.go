package proxy

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peek looks at what has come on a connection without taking it, and without waiting whatever its deadline.
func peek(conn net.Conn) (n int, err error) {
	err = syscall.EAGAIN
	if raw, ok := conn.(syscall.Conn); ok {
		if c, e := raw.SyscallConn(); e == nil {
			c.Control(func(fd uintptr) {
				var b [1]byte
				n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			})
		}
	}
	return n, err
}

// unread tells whether bytes have come that nobody has read.
func hasUnread(conn net.Conn) bool {
	n, _ := peek(conn)
	return n > 0
}

// over tells whether the other side has ended the connection, with nothing left to read.
func closedByPeer(conn net.Conn) bool {
	n, err := peek(conn)
	return n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR
}

// hungUp tells whether the other side has ended the connection, whatever it sent before that is still unread.
func hungUpByPeer(conn net.Conn) bool {
	gone := false
	if raw, ok := conn.(syscall.Conn); ok {
		if c, e := raw.SyscallConn(); e == nil {
			c.Control(func(fd uintptr) {
				p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
				n, err := unix.Poll(p, 0)
				gone = err == nil && n > 0
			})
		}
	}
	return gone || closedByPeer(conn)
}
