package proxy

import (
	"errors"
	"os"
	"syscall"
	"time"

	"woodproxy/internal/lifecycle"
)

// Retries of a dial that fails because of this machine. After localRetryTime the balancer decides again, since a
// connection to another server may be open.
const (
	localRetryDelay = 5 * time.Millisecond  // delay before the first retry; doubles with each retry
	localRetryTime  = 40 * time.Millisecond // maximum total time of the retries
)

// localErrnos are the errors of connect that are no evidence against the server: this machine lacks, for example, ports,
// buffers or a route.
var localErrnos = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.EACCES, syscall.EPERM, syscall.EINTR,
}

// isLocalError reports whether opening a connection failed because of this machine. System calls other than connect fail
// only for local reasons.
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

// dialWithRetry opens the connection. If that fails because of this machine, it retries for up to localRetryTime while
// the attempt may still begin.
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
