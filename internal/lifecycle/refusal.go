package lifecycle

// Refusal is the reason why an operation is not permitted now. The zero value is Permitted.
type Refusal uint8

// Reasons of refusals.
const (
	Permitted          Refusal = iota
	AttemptCanceled            // the balancer has canceled the attempt
	RequestAnswered            // the final reply of the request has been decided
	ClientGone                 // the request's client has closed its connection
	EndpointNotReady           // the endpoint is draining or is no longer in the endpoint list
	DedupWindowClosed          // upstreams no longer drop the retry as a duplicate
	DeadlineExceeded           // the deadline of the attempt has passed
	DeadlineOutdated           // writing took too long: the deadline sent to the upstream is now later than the client's
	UnexpectedInput            // bytes were received that belong to no response
	ConnectionClosed           // the peer has closed the connection
	ResponseIncomplete         // the response has not been read completely, or the connection closes after it
	ResponseRecent             // the last response on the connection ended less than ResponseRest ago
	HostDistrusted             // the host has sent a surplus response and DistrustPeriod is not over
	ResponseUncertain          // the response may belong to an earlier request on the connection
	RepliesPending             // requests on the connection have no reply yet
	CommandIncomplete          // a command has been read only in part
	InputUnread                // bytes have been received that were not read
	PhaseTooEarly              // the connection's phase does not permit a close yet
	WatchOpen                  // a watch is already open
	WatchDelegated             // another proxy has the duty to watch
	ConnectionsOpen            // client connections are open or may still be accepted
	PendingLimit               // the connection has the maximum number of pending replies
	ReadingStopped             // the connection reads no further commands
	numRefusals
)

// refusalNames holds the texts of refusals in logs and metrics.
var refusalNames = [numRefusals]string{
	Permitted:          "permitted",
	AttemptCanceled:    "attempt_cancelled",
	RequestAnswered:    "request_answered",
	ClientGone:         "client_gone",
	EndpointNotReady:   "endpoint_not_ready",
	DedupWindowClosed:  "dedup_window_closed",
	DeadlineExceeded:   "deadline_exceeded",
	DeadlineOutdated:   "deadline_outdated",
	UnexpectedInput:    "unexpected_input",
	ConnectionClosed:   "connection_closed",
	ResponseIncomplete: "response_incomplete",
	ResponseRecent:     "response_recent",
	HostDistrusted:     "host_distrusted",
	ResponseUncertain:  "response_uncertain",
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

// NumRefusals is the number of values of Refusal, including Permitted.
const NumRefusals = int(numRefusals)

// String returns the refusal's text in logs and metrics.
func (r Refusal) String() string {
	if r >= numRefusals {
		return "unknown"
	}
	return refusalNames[r]
}

// Permitted reports whether the operation is permitted.
func (r Refusal) Permitted() bool { return r == Permitted }
