package admin

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener fails to accept with each of its errors before it accepts.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// Accepting fails in the ways that Linux documents: operators are served afterwards, whatever the error was. Only the end of
// the listener ends it.
func TestAcceptErrorsEndNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: listener}
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH,
	} {
		failing.errors = append(failing.errors, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)})
	}
	limiter := newConnLimiter(failing, 2)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }() // nothing is sent on it
	conn, err := limiter.Accept()
	if err != nil {
		t.Fatalf("%d errors are left: %v", len(failing.errors), err)
	}
	if err := errors.Join(conn.Close(), listener.Close()); err != nil {
		t.Fatal(err)
	}
	if _, err := limiter.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a closed listener: %v", err)
	}
}
