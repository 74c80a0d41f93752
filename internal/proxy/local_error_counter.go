package proxy

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
)

// SystemCallError is a kind of system call failure.
type SystemCallError struct {
	Call  string // name of the system call
	Errno syscall.Errno
}

// maxCountedErrors is the number of kinds of errors that are counted separately. All others are counted as one kind.
const maxCountedErrors = 64

// LocalErrorCounter counts system calls that failed because of this machine, by call and error. Any goroutine may use it.
type LocalErrorCounter struct {
	mu     sync.Mutex
	counts map[SystemCallError]int64
}

// count counts the system call error in the chain of err, if there is one.
func (c *LocalErrorCounter) count(err error) {
	var call *os.SyscallError
	var errno syscall.Errno
	if !errors.As(err, &call) || !errors.As(call.Err, &errno) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[SystemCallError]int64{}
	}
	key := SystemCallError{call.Syscall, errno}
	if _, known := c.counts[key]; !known && len(c.counts) >= maxCountedErrors {
		key = SystemCallError{Call: "other"}
	}
	c.counts[key]++
}

// Each calls f with each kind of error and its count, in a fixed order.
func (c *LocalErrorCounter) Each(f func(kind SystemCallError, count int64)) {
	c.mu.Lock()
	kinds := make([]SystemCallError, 0, len(c.counts))
	counts := make(map[SystemCallError]int64, len(c.counts))
	for kind, count := range c.counts {
		kinds, counts[kind] = append(kinds, kind), count
	}
	c.mu.Unlock()
	slices.SortFunc(kinds, func(a, b SystemCallError) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Errno, b.Errno))
	})
	for _, kind := range kinds {
		f(kind, counts[kind])
	}
}
