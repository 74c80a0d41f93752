package hotrestart

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// failingAcceptor is an acceptor that returns each of its errors once, and then net.ErrClosed.
type failingAcceptor struct{ errors []error }

func (l *failingAcceptor) AcceptUnix() (*net.UnixConn, error) {
	if len(l.errors) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// TestAcceptErrorsEndNoHotRestart checks that the restart socket goes on accepting after a temporary accept error, until it
// is closed. A socket that stopped would leave the process without hot restart.
func TestAcceptErrorsEndNoHotRestart(t *testing.T) {
	failing := &failingAcceptor{}
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		failing.errors = append(failing.errors, os.NewSyscallError("accept4", errno))
	}
	(&restartSocket{}).accept(failing)
	if len(failing.errors) > 0 {
		t.Errorf("accept returned with %d errors left, want 0", len(failing.errors))
	}
}
