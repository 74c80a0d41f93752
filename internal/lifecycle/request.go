package lifecycle

import (
	"fmt"
	"sync/atomic"
)

// RequestState is how far a request has come.
type RequestState uint8

// States of requests.
const (
	RequestPending   RequestState = iota // it was read whole and has no final reply
	RequestReplied                       // its final reply is decided, and may be written still
	RequestAbandoned                     // its client has gone before the final reply
	numRequestStates
)

var requestStateNames = [numRequestStates]string{"pending", "replied", "abandoned"}

// String returns the state's name in logs.
func (s RequestState) String() string { return requestStateNames[s%numRequestStates] }

// RequestEvent is what happens to a request.
type RequestEvent uint8

// Events of requests.
const (
	ReplyDecided RequestEvent = iota // its final reply is decided
	ClientLeft                       // its client's connection has ended
	numRequestEvents
)

var requestEventNames = [numRequestEvents]string{"reply decided", "client left"}

// String returns the event's name in logs.
func (e RequestEvent) String() string { return requestEventNames[e%numRequestEvents] }

// forbidden marks a transition that must not happen.
const forbidden = numRequestStates

// requestTransitions holds the state that follows each state and event. A reply that is decided while the client
// leaves is dropped, and changes nothing.
var requestTransitions = [numRequestStates][numRequestEvents]RequestState{
	RequestPending:   {ReplyDecided: RequestReplied, ClientLeft: RequestAbandoned},
	RequestReplied:   {ReplyDecided: forbidden, ClientLeft: RequestReplied},
	RequestAbandoned: {ReplyDecided: RequestAbandoned, ClientLeft: RequestAbandoned},
}

// TransitionError is a transition of a request that must not happen.
type TransitionError struct {
	State RequestState
	Event RequestEvent
}

func (e *TransitionError) Error() string { return fmt.Sprintf("request %v: %v", e.State, e.Event) }

// Request is the state of one request. Its zero value is pending; its methods may be called from any goroutine.
type Request struct{ state atomic.Uint32 }

// State returns the current state.
func (r *Request) State() RequestState { return RequestState(r.state.Load()) }

// Finished reports whether nothing more may be begun for the request.
func (r *Request) Finished() bool { return r.State() != RequestPending }

// Apply takes an event. A transition that must not happen changes nothing and is returned as a *TransitionError.
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

// refusal returns why nothing more may be begun for a request in a state.
func (s RequestState) refusal() Refusal {
	switch s {
	case RequestReplied:
		return RequestAnswered
	case RequestAbandoned:
		return ClientGone
	}
	return Permitted
}
