package snapshot

import (
	"errors"
	"fmt"
)

// errNotDirectory is the cause of a DirError for a path that is a file. Operators see the text.
var errNotDirectory = errors.New("no directory")

// DirError reports a state directory that does not exist or can't be written.
type DirError struct {
	Dir string
	Err error // the cause, from package os
}

func (e *DirError) Error() string {
	return fmt.Sprintf("state: %s: %v; name a directory that this proxy alone may write, or leave state out", e.Dir, e.Err)
}

// Unwrap returns the cause.
func (e *DirError) Unwrap() error { return e.Err }

// OwnerError reports a state directory that holds the state file of another proxy.
type OwnerError struct {
	Dir   string
	Owner string // the name of the proxy that wrote the file
	Proxy string // the name of this proxy
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("state: %s: it is %q's, and this proxy is %q; give each its own", e.Dir, e.Owner, e.Proxy)
}

// ReadError reports a state file that could not be read, for a reason that may pass. The file stays where it is.
type ReadError struct{ Err error }

func (e *ReadError) Error() string {
	return fmt.Sprintf("the state file can't be read now: %v; start-up continues without it", e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// CorruptError reports a state file that does not hold what was written. Its text also says what
// start-up does about it: the caller moves the file out of the way and starts without it.
type CorruptError struct {
	Reason string
	Err    error // the cause, nil where the content itself is wrong
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("the state file can't be read: %s; it is moved aside, and start-up continues without it", e.Reason)
}

// Unwrap returns the cause, or nil.
func (e *CorruptError) Unwrap() error { return e.Err }

// newCorruptError returns the [CorruptError] for a state file that could not be read or decoded because of err.
func newCorruptError(err error) *CorruptError { return &CorruptError{Reason: err.Error(), Err: err} }
