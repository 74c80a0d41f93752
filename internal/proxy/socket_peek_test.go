package proxy

import (
	"syscall"
	"testing"
)

// A peek that fails for lack of memory or buffers does not count as the end of the connection. End of input, a reset and
// network errors do.
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
		if got := classifyPeek(test.n, test.err); got != test.want {
			t.Errorf("classifyPeek(%d, %v) = %d, want %d", test.n, test.err, got, test.want)
		}
	}
}
