// Package systemerror recognizes errors of system calls that may be transient, and retries accept after errors.
package systemerror

import (
	"errors"
	"slices"
	"syscall"
)

// transient holds the errors that occur while a machine temporarily lacks descriptors, memory, buffers or disk space, or
// while its disk fails temporarily. EAGAIN and EINTR are also among them.
var transient = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR,
	syscall.ENOSPC, syscall.EDQUOT, syscall.EIO,
}

// IsTransient reports whether an operation that failed with err may succeed a moment later without intervention.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transient, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}
