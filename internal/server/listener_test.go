package server

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListen returns a function that fails with an error the given number of times and then listens, and the counter of
// its calls.
func failingListen(times int, errno syscall.Errno) (listen func(string) (*net.TCPListener, error), calls *int) {
	calls = new(int)
	return func(address string) (*net.TCPListener, error) {
		if *calls++; *calls <= times {
			return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
		}
		return listenReusingPort(address)
	}, calls
}

// TestStartOutlastsShortage checks that the start of a process is retried, and does not fail, if the machine temporarily
// lacks buffers, memory or descriptors.
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

// TestStartFailsOnWrongAddress checks that the start fails immediately if the process can't listen on the address.
func TestStartFailsOnWrongAddress(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EACCES} {
		listen, calls := failingListen(1, errno)
		began := time.Now()
		if _, err := listenWithRetry("127.0.0.1:0", listen); !errors.Is(err, errno) || *calls != 1 || time.Since(began) > time.Second {
			t.Errorf("got error %v after %d calls and %v, want the error of the first call within 1s", err, *calls, time.Since(began))
		}
	}
}
