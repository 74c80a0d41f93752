package hotrestart

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// failingAcceptor fails with each of its errors, and then says that it is closed.
type failingAcceptor struct{ errors []error }

func (l *failingAcceptor) AcceptUnix() (*net.UnixConn, error) {
	if len(l.errors) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// Accepting a successor fails for a moment: the socket goes on to accept, until it is closed.
func TestAcceptErrorsEndNoHotRestart(t *testing.T) {
	failing := &failingAcceptor{}
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		failing.errors = append(failing.errors, os.NewSyscallError("accept4", errno))
	}
	(&restartSocket{}).accept(failing)
	if len(failing.errors) > 0 {
		t.Errorf("accepting has ended with %d errors to come", len(failing.errors))
	}
}
