package wire

import (
	"errors"
	"fmt"
)

// Progress is the stage that an upstream attempt had reached when it ended.
type Progress uint8

// The stages of an upstream attempt, in order.
const (
	Dialing Progress = iota // the connection is not established yet
	Writing                 // connected; the request is not completely written yet
	Waiting                 // the request is written; no byte of the response has been received
	Reading                 // part of the response has been received
)

// String returns the name of the stage in lower case, as used in error texts.
func (p Progress) String() string { return [...]string{"dialing", "writing", "waiting", "reading"}[p] }

// AttemptError is the error of an upstream attempt that ended without a complete response.
type AttemptError struct {
	Progress Progress // the stage in which the attempt ended
	Err      error    // the cause
}

// Error returns the stage and the cause.
func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.Progress, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// MayHaveRun reports whether the server may have begun to process the request. If so, the request may be retried only if
// it is idempotent.
func (e *AttemptError) MayHaveRun() bool { return e.Progress >= Waiting }

var (
	// ErrIncomplete reports that the input ends before the end of the message, and more bytes are needed to parse it.
	ErrIncomplete = errors.New("incomplete message")
	// ErrProtocol reports a protocol violation by the peer. The connection must not be used any longer.
	ErrProtocol = errors.New("bad bytes")
)

// protocolError returns an error that wraps [ErrProtocol].
func protocolError(reason string) error { return fmt.Errorf("%w: %s", ErrProtocol, reason) }
