package proxy

import (
	"syscall"
	"testing"
)

// A look at a connection that fails for want of memory or buffers says nothing of it; an end, a reset and a broken network
// say that it has ended.
func TestPeekErrorIsNoClose(t *testing.T) {
	for _, test := range []struct {
		n    int
		err  error
		want inputState
	}{
		{1, nil, inputUnread},
		{0, nil, inputEnded},
		{-1, syscall.EAGAIN, inputNone},
		{-1, syscall.EINTR, inputNone},
		{-1, syscall.ENOMEM, inputNone},
		{-1, syscall.ENOBUFS, inputNone},
		{-1, syscall.ECONNRESET, inputEnded},
		{-1, syscall.ETIMEDOUT, inputEnded},
		{-1, syscall.EHOSTUNREACH, inputEnded},
		{-1, syscall.EPIPE, inputEnded},
	} {
		if got := inputOf(test.n, test.err); got != test.want {
			t.Errorf("%d, %v: %d, want %d", test.n, test.err, got, test.want)
		}
	}
}
