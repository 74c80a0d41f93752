package admin

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener is a listener whose Accept returns each of the errors once before it accepts connections.
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

// The admin server must survive every accept error that Linux documents: net/http stops serving for good when Accept returns
// an error. Only a closed listener ends Accept.
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
	defer func() { _ = client.Close() }() // no data is sent on the connection
	conn, err := limiter.Accept()
	if err != nil {
		t.Fatalf("Accept with %d errors left: %v, want a connection", len(failing.errors), err)
	}
	if err := errors.Join(conn.Close(), listener.Close()); err != nil {
		t.Fatal(err)
	}
	if _, err := limiter.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept on a closed listener: error %v, want net.ErrClosed", err)
	}
}
