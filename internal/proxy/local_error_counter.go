package proxy

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
)

// SystemCallError names a system call and how it failed.
type SystemCallError struct {
	Call  string
	Errno syscall.Errno
}

// maxCountedErrors bounds how many kinds of errors are told apart; others are counted as one.
const maxCountedErrors = 64

// LocalErrorCounter counts system calls that failed for a reason of this machine, by call and error. Any goroutine may
// use it.
type LocalErrorCounter struct {
	mu     sync.Mutex
	counts map[SystemCallError]int64
}

// count adds the system call error in a chain, if there is one.
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

// Each calls f for each kind of error, in a fixed order.
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
