package wire

import (
	"errors"
	"fmt"
)

// Progress is the progress of an upstream attempt at the moment when it ended.
type Progress uint8

// The stages of an upstream attempt, in their order.
const (
	Dialing Progress = iota // the connection is not established
	Writing                 // connected; the last byte of the request is not written
	Waiting                 // the request is written; no byte of the response has been received
	Reading                 // a part of the response has been received
)

// String returns the stage in lower case, as error texts have it.
func (f Progress) String() string { return [...]string{"dialing", "writing", "waiting", "reading"}[f] }

// AttemptError is the error of an upstream attempt that ended without a complete response.
type AttemptError struct {
	Progress Progress // the stage in which it ended
	Err      error    // the cause
}

// Error returns the stage and the cause.
func (h *AttemptError) Error() string { return fmt.Sprintf("%s: %v", h.Progress, h.Err) }

// Unwrap returns the cause.
func (h *AttemptError) Unwrap() error { return h.Err }

// MayHaveRun reports whether the server may have begun to process the request, so that only an idempotent one may be retried.
func (h *AttemptError) MayHaveRun() bool { return h.Progress >= Waiting }

var (
	// ErrIncomplete reports that the bytes at hand are the beginning of a message that is not complete yet.
	ErrIncomplete = errors.New("more to come")
	// ErrProtocol reports a violation of the protocol. The connection can't be used any further.
	ErrProtocol = errors.New("bad bytes")
)

// protocolError returns an error that wraps [ErrProtocol].
func protocolError(reason string) error { return fmt.Errorf("%w: %s", ErrProtocol, reason) }
