package emulator

import (
	"slices"
	"sync"
	"time"
)

// EventKind is the kind of a recorded event.
type EventKind string

// Kinds of events.
const (
	RequestSent      EventKind = "request sent"       // a client has written a complete request
	ReplyReceived    EventKind = "reply received"     // a client received a final reply: Note is the outcome, Node made its value for the request MadeFor, Figure is the time in milliseconds since its first byte if the value is long
	ConnectionClosed EventKind = "connection closed"  // a connection was closed during a request: Figure is the time in milliseconds since the first byte of its reply, if it had begun
	ClientLeft       EventKind = "client left"        // a client left before it received a reply
	AttemptReceived  EventKind = "attempt received"   // a node has received a complete attempt
	ResponseCutOff   EventKind = "response cut off"   // a proxy closed the connection on which a node was writing the response to an attempt
	ResponseBroken   EventKind = "response broken"    // a node's own connection ended while it was writing the response to an attempt
	AttemptRefused   EventKind = "attempt refused"    // a node answers that it did not execute an attempt: Note is its mode
	WriteExecuted    EventKind = "write executed"     // the origin executed a write, whose idempotency key is Note
	ReadExecuted     EventKind = "read executed"      // a node served a read that must not be executed twice
	SurplusSent      EventKind = "surplus response"   // a node sent a response of kind Note that no request asked for: Figure is the time in milliseconds since the response before it ended, RequestID the request of that one
	KeyAbsent        EventKind = "key absent"         // the origin replied that it lacks the key Note
	StatusDelivered  EventKind = "status delivered"   // discovery delivered an endpoint's status, Note, to a proxy
	SlowStartBegan   EventKind = "slow start began"   // a node begins its slow start: Figure is its full capacity per second
	ProcessEnded     EventKind = "process ended"      // a proxy process ended: Note is the cause
	QuotaReported    EventKind = "quota reported"     // a proxy reports its quota, Figure, and its rows of nodes, Note
	ProcessPaused    EventKind = "process paused"     // a proxy got SIGSTOP or SIGCONT: Note is pauseBegins or pauseEnds
	ProcessNotReady  EventKind = "process not ready"  // a proxy process was not ready in time
	CounterReported  EventKind = "counter reported"   // a proxy reports the value Figure of its metric Note
	LogReported      EventKind = "log reported"       // a proxy has logged Figure lines that begin with Note
	BadClientIgnored EventKind = "bad client ignored" // a bad client received neither an error nor a close in time
	LimitExceeded    EventKind = "limit exceeded"     // a proxy process was killed for using Figure of the resource Note
	ProcessHung      EventKind = "process hung"       // a proxy process did not reply to pings for Figure seconds
	CommandInvented  EventKind = "command invented"   // a node has received a command, Note, that no client has sent
	CrowdChanged     EventKind = "crowd changed"      // silent clients connected or left: Note is crowdBegins or crowdEnds
	SentLate         EventKind = "sent late"          // the load generator sent a request Figure milliseconds late
)

// Notes of ProcessEnded events.
const (
	endKilled   = "killed"
	endReplaced = "replaced" // a successor has taken over
	endStopped  = "stopped"  // graceful shutdown after a signal
	endCrashed  = "crashed"
)

// Notes of ProcessPaused events.
const (
	pauseBegins = "begins"
	pauseEnds   = "ends"
)

// Notes of CrowdChanged events.
const (
	crowdBegins = "connected"
	crowdEnds   = "left"
)

// noteReused is the Note of a ConnectionClosed event whose connection had served an earlier request.
const noteReused = "reused"

// Event is a recorded event.
type Event struct {
	At        time.Duration // since the start of the event log
	Kind      EventKind
	RequestID string
	Proxy     int // index of the proxy, -1: none
	Node      string
	Note      string
	// MadeFor is the ID of the request for which the value of a reply was made. In a QuotaReported event it is "true" while the
	// proxy is catching up and "false" otherwise.
	MadeFor                    string
	Figure                     float64
	GossipBytes, GossipPackets int64 // gossip traffic since the proxy process started
}

// EventLog collects the events of a run. Its methods may be called concurrently, and Record also on nil.
type EventLog struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewEventLog returns an empty event log whose clock starts now.
func NewEventLog() *EventLog { return &EventLog{start: time.Now()} }

// Record appends an event and sets its time.
func (l *EventLog) Record(event Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	event.At = time.Since(l.start)
	l.events = append(l.events, event)
}

// All returns a copy of the events in the order in which they were recorded.
func (l *EventLog) All() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

// eventsOfRequest returns the events of one request.
func eventsOfRequest(events []Event, id string) []Event {
	var related []Event
	for _, e := range events {
		if e.RequestID == id {
			related = append(related, e)
		}
	}
	return related
}
