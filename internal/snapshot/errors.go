package snapshot

import (
	"errors"
	"fmt"
)

// errNotDirectory is the cause of a DirError for a path that is a file. Operators see the text.
var errNotDirectory = errors.New("not a directory")

// DirError reports a state directory that does not exist or is not writable.
type DirError struct {
	Dir string
	Err error // cause: an error of package os, or that the path is not a directory
}

// Error returns a line with the directory, the cause and what an operator can do.
func (e *DirError) Error() string {
	return fmt.Sprintf("state: %s: %v; name a directory that this proxy alone may write, or leave state out", e.Dir, e.Err)
}

// Unwrap returns the cause.
func (e *DirError) Unwrap() error { return e.Err }

// OwnerError reports a state directory that contains the state file of another proxy.
type OwnerError struct {
	Dir   string
	Owner string // name of the proxy that wrote the file
	Proxy string // name of this proxy
}

// Error returns a line with the directory, both proxies and what an operator can do.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("state: %s: the directory belongs to proxy %q, and this proxy is %q; give each proxy its own",
		e.Dir, e.Owner, e.Proxy)
}

// ReadError reports a state file that could not be read because of an error that may be temporary. The file stays where it
// is.
type ReadError struct{ Err error }

// Error returns a line with the cause and what start-up does.
func (e *ReadError) Error() string {
	return fmt.Sprintf("the state file can't be read at present: %v; start-up continues without it", e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// CorruptError reports a state file whose content is not what Save wrote. Its text includes what start-up does next: the
// caller quarantines the file and starts without it.
type CorruptError struct {
	Reason string // what is wrong with the file
	Err    error  // error of the decoder, nil if a check of the header failed
}

// Error returns a line with the reason and what start-up does.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("the state file can't be read: %s; it is moved aside, and start-up continues without it", e.Reason)
}

// Unwrap returns the cause, or nil.
func (e *CorruptError) Unwrap() error { return e.Err }

// newCorruptError returns a [CorruptError] for a state file whose body could not be decoded because of err.
func newCorruptError(err error) *CorruptError { return &CorruptError{Reason: err.Error(), Err: err} }
