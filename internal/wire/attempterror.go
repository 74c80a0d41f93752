package wire

import (
	"errors"
	"fmt"
)

// Far is the progress of an upstream attempt at the moment when it ended.
type Far uint8

// The stages of an upstream attempt, in their order.
const (
	Dialing Far = iota // the connection is not established
	Writing            // connected; the last byte of the request is not written
	Waiting            // the request is written; no byte of the response has been received
	Reading            // a part of the response has been received
)

// String returns the stage in lower case, as error texts have it.
func (f Far) String() string { return [...]string{"dialing", "writing", "waiting", "reading"}[f] }

// Halt is the error of an upstream attempt that ended without a complete response.
type Halt struct {
	Far Far   // the stage in which it ended
	Err error // the cause
}

// Error returns the stage and the cause.
func (h *Halt) Error() string { return fmt.Sprintf("%s: %v", h.Far, h.Err) }

// Unwrap returns the cause.
func (h *Halt) Unwrap() error { return h.Err }

// Ran reports whether the server may have begun to process the request, so that only an idempotent one may be retried.
func (h *Halt) Ran() bool { return h.Far >= Waiting }

var (
	// ErrShort reports that the bytes at hand are the beginning of a message that is not complete yet.
	ErrShort = errors.New("more to come")
	// ErrBytes reports a violation of the protocol. The connection can't be used any further.
	ErrBytes = errors.New("bad bytes")
)

// protocolError returns an error that wraps [ErrBytes].
func protocolError(reason string) error { return fmt.Errorf("%w: %s", ErrBytes, reason) }
