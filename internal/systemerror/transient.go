// Package systemerror tells errors of system calls apart that may pass by themselves, and outlasts those of accept.
package systemerror

import (
	"errors"
	"slices"
	"syscall"
)

// transient are the errors of a machine that lacks descriptors, memory, buffers or disk space for a while, or whose disk
// fails for a while.
var transient = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR,
	syscall.ENOSPC, syscall.EDQUOT, syscall.EIO,
}

// IsTransient reports whether what failed may succeed a moment later, though nobody changes anything.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transient, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}
