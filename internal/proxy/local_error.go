package proxy

import (
	"errors"
	"os"
	"syscall"
	"time"

	"woodproxy/internal/lifecycle"
)

// A connection that can't be opened for want of something on this machine is tried again after localRetryDelay, which
// doubles each time, for localRetryTime at most. The balancer decides anew then: another server's connection may be open.
const (
	localRetryDelay = 5 * time.Millisecond
	localRetryTime  = 40 * time.Millisecond
)

// localErrnos are the errors of connect that say nothing of the server: this machine lacks ports, buffers or a route.
var localErrnos = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EACCES, syscall.EPERM, syscall.EINTR,
}

// isLocalError reports whether a connection could not be opened for a reason of this machine. All calls but connect fail
// for such reasons only.
func isLocalError(err error) bool {
	var call *os.SyscallError
	if !errors.As(err, &call) {
		return false
	}
	if call.Syscall != "connect" {
		return true
	}
	for _, errno := range localErrnos {
		if errors.Is(call.Err, errno) {
			return true
		}
	}
	return false
}

// dialWithRetry opens the connection. Where that fails for a reason of this machine it tries again for a moment, as long
// as the attempt may still begin.
func (u *upstreamConn) dialWithRetry(attempt *attempt, until time.Time) error {
	began, delay := time.Now(), localRetryDelay
	for {
		err := u.dial(attempt, until)
		if err == nil || !isLocalError(err) {
			return err
		}
		u.host.router.counters.LocalErrors.count(err)
		if time.Since(began)+delay > localRetryTime || time.Now().Add(delay).After(until) {
			return err
		}
		time.Sleep(delay)
		delay *= 2
		conditions := u.conditions(attempt, until)
		if refusal := conditions.MayBegin(); refusal != lifecycle.Permitted {
			return err
		}
	}
}
