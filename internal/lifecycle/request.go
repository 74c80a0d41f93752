package lifecycle

import (
	"fmt"
	"sync/atomic"
)

// RequestState is the state of a request.
type RequestState uint8

// States of requests.
const (
	RequestPending   RequestState = iota // completely read, without a final reply
	RequestReplied                       // the final reply is decided, but may not be written yet
	RequestAbandoned                     // the client has closed its connection before the final reply
	numRequestStates
)

var requestStateNames = [numRequestStates]string{"pending", "replied", "abandoned"}

// String returns the state's name in logs.
func (s RequestState) String() string { return requestStateNames[s%numRequestStates] }

// RequestEvent is an event that changes the state of a request.
type RequestEvent uint8

// Events of requests.
const (
	ReplyDecided RequestEvent = iota // the final reply is decided
	ClientLeft                       // the client's connection has ended
	numRequestEvents
)

var requestEventNames = [numRequestEvents]string{"reply decided", "client left"}

// String returns the event's name in logs.
func (e RequestEvent) String() string { return requestEventNames[e%numRequestEvents] }

// forbidden marks a transition that must not happen.
const forbidden = numRequestStates

// requestTransitions holds the next state for each state and event. A reply that is decided after the client has left is
// dropped and does not change the state.
var requestTransitions = [numRequestStates][numRequestEvents]RequestState{
	RequestPending:   {ReplyDecided: RequestReplied, ClientLeft: RequestAbandoned},
	RequestReplied:   {ReplyDecided: forbidden, ClientLeft: RequestReplied},
	RequestAbandoned: {ReplyDecided: RequestAbandoned, ClientLeft: RequestAbandoned},
}

// TransitionError reports a forbidden state transition of a request.
type TransitionError struct {
	State RequestState
	Event RequestEvent
}

// Error returns the state and the event.
func (e *TransitionError) Error() string { return fmt.Sprintf("request %v: %v", e.State, e.Event) }

// Request holds the state of one request. The zero value is pending. Its methods may be called from any goroutine.
type Request struct{ state atomic.Uint32 }

// State returns the current state.
func (r *Request) State() RequestState { return RequestState(r.state.Load()) }

// Finished reports whether the request is no longer pending, so that no attempt may begin for it.
func (r *Request) Finished() bool { return r.State() != RequestPending }

// Apply changes the state according to an event. If the transition is forbidden, the state does not change and the error
// is a [*TransitionError].
func (r *Request) Apply(event RequestEvent) error {
	for {
		state := r.State()
		next := requestTransitions[state][event]
		if next == forbidden {
			return &TransitionError{state, event}
		}
		if r.state.CompareAndSwap(uint32(state), uint32(next)) {
			return nil
		}
	}
}

// refusal returns the reason why no attempt may begin for a request in the state, or Permitted.
func (s RequestState) refusal() Refusal {
	switch s {
	case RequestReplied:
		return RequestAnswered
	case RequestAbandoned:
		return ClientGone
	}
	return Permitted
}
