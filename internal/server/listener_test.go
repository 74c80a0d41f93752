package server

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListen fails a number of times with an error, and then listens.
func failingListen(times int, errno syscall.Errno) (listen func(string) (*net.TCPListener, error), calls *int) {
	calls = new(int)
	return func(address string) (*net.TCPListener, error) {
		if *calls++; *calls <= times {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
		}
		return listenReusingPort(address)
	}, calls
}

// A process starts while the machine lacks buffers, memory or descriptors for a moment: it listens when there are some, and
// does not end.
func TestStartOutlastsShortage(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EAGAIN, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			listen, calls := failingListen(10, errno)
			listener, err := listenWithRetry("127.0.0.1:0", listen)
			if err != nil {
				t.Fatalf("after %d calls: %v", *calls, err)
			}
			if err := listener.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// An address that can't be listened on is an error at once.
func TestStartFailsOnWrongAddress(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EACCES} {
		listen, calls := failingListen(1, errno)
		began := time.Now()
		if _, err := listenWithRetry("127.0.0.1:0", listen); !errors.Is(err, errno) || *calls != 1 || time.Since(began) > time.Second {
			t.Errorf("%v after %d calls and %v", err, *calls, time.Since(began))
		}
	}
}
