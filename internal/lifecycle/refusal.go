package lifecycle

// Refusal is why something may not be done now. Its zero value is Permitted.
type Refusal uint8

// Reasons of refusals.
const (
	Permitted          Refusal = iota
	AttemptCancelled           // the balancer has cancelled the attempt
	RequestAnswered            // the request has its final reply
	ClientGone                 // the request's client has closed its connection
	EndpointNotReady           // the endpoint drains or has left the endpoint list
	DedupWindowClosed          // upstreams no longer drop the retry as a duplicate
	DeadlineExceeded           // the time for it is over
	DeadlineOutdated           // the deadline that was told to the upstream is later than the client's by now
	UnexpectedInput            // there are bytes on the connection that answer nothing
	ConnectionClosed           // the peer has closed the connection
	ResponseIncomplete         // the response has not been read to its end, or ends with its connection
	RepliesPending             // requests on the connection have no reply yet
	CommandIncomplete          // a command has been read in part
	InputUnread                // bytes have arrived that were not read
	PhaseTooEarly              // nobody has asked for the connection to be closed
	WatchOpen                  // there is a watch already
	WatchDelegated             // another proxy has the duty to watch
	ConnectionsOpen            // clients are still served
	PendingLimit               // as many commands of the connection as may be are without a reply
	ReadingStopped             // no further command is read on the connection
	numRefusals
)

// refusalNames are the texts of refusals in logs and metrics.
var refusalNames = [numRefusals]string{
	Permitted:          "permitted",
	AttemptCancelled:   "attempt_cancelled",
	RequestAnswered:    "request_answered",
	ClientGone:         "client_gone",
	EndpointNotReady:   "endpoint_not_ready",
	DedupWindowClosed:  "dedup_window_closed",
	DeadlineExceeded:   "deadline_exceeded",
	DeadlineOutdated:   "deadline_outdated",
	UnexpectedInput:    "unexpected_input",
	ConnectionClosed:   "connection_closed",
	ResponseIncomplete: "response_incomplete",
	RepliesPending:     "replies_pending",
	CommandIncomplete:  "command_incomplete",
	InputUnread:        "input_unread",
	PhaseTooEarly:      "phase_too_early",
	WatchOpen:          "watch_open",
	WatchDelegated:     "watch_delegated",
	ConnectionsOpen:    "connections_open",
	PendingLimit:       "pending_limit",
	ReadingStopped:     "reading_stopped",
}

// NumRefusals is the number of values of Refusal, Permitted included.
const NumRefusals = int(numRefusals)

// String returns the text in logs and metrics.
func (r Refusal) String() string {
	if r >= numRefusals {
		return "unknown"
	}
	return refusalNames[r]
}

// Permitted reports whether it may be done.
func (r Refusal) Permitted() bool { return r == Permitted }
