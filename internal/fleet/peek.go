package fleet

import (
	"net"
	"syscall"
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
func unread(conn net.Conn) bool {
	n, _ := peek(conn)
	return n > 0
}

// over tells whether the other side has ended the connection, with nothing left to read.
func over(conn net.Conn) bool {
	n, err := peek(conn)
	return n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR
}
