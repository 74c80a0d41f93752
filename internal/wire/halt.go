// Package wire holds what is spoken on sockets: RESP2 with clients and caches, HTTP/1.1 with the origin and
// with discovery. Heads are parsed where they lie in the reader's buffer. It decides nothing and keeps nothing.
package wire

import (
	"errors"
	"fmt"
)

// Far is how far an upstream try had come when it ended.
type Far uint8

const (
	Dialing Far = iota
	Writing     // connected; the last byte is not written
	Waiting     // written; no byte of the answer has come
	Reading
)

func (f Far) String() string { return [...]string{"dialing", "writing", "waiting", "reading"}[f] }

// Halt is the error of an upstream try that ended without a whole answer.
type Halt struct {
	Far Far
	Err error
}

func (h *Halt) Error() string { return fmt.Sprintf("%s: %v", h.Far, h.Err) }
func (h *Halt) Unwrap() error { return h.Err }

// Ran tells whether the other side may have begun the work.
func (h *Halt) Ran() bool { return h.Far >= Waiting }

var (
	// ErrShort tells that a message goes on past the bytes at hand.
	ErrShort = errors.New("more to come")
	// ErrBytes tells that what came is not what is spoken here.
	ErrBytes = errors.New("bad bytes")
)

func bad(what string) error { return fmt.Errorf("%w: %s", ErrBytes, what) }
