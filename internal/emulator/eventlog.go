package emulator

import (
	"slices"
	"sync"
	"time"
)

// EventKind is what a stand-in has recorded.
type EventKind string

// Kinds of events.
const (
	RequestSent      EventKind = "asked"    // a client has written a whole request
	ReplyReceived   EventKind = "answered" // a client has a final answer: Note is the outcome, MadeFor the request that its value was made for
	ConnectionClosed EventKind = "closed"   // a connection ended during a request
	ClientLeft       EventKind = "went"     // a client left before the answer
	AttemptReceived  EventKind = "took"     // a node has received a whole attempt
	WriteExecuted    EventKind = "ran"      // the origin carried out a write, whose idempotency key is Note
	KeyAbsent        EventKind = "lacked"   // the origin has no key Note, and answered so
	StatusDelivered  EventKind = "told"     // discovery delivered an endpoint's status, Note, to a proxy
	SlowStartBegan   EventKind = "began"    // a node begins its slow start: Figure is its full capacity in commands a second
	ProcessEnded     EventKind = "ended"    // a proxy process ended: Note is how
	QuotaReported    EventKind = "shared"   // a proxy reports Figure as its quota, the part of the fleet's limits, and Note as its rows of nodes
	ProcessPaused    EventKind = "paused"   // a proxy process was stopped by a signal, or continued: Note is pauseBegins or pauseEnds
	ProcessLate      EventKind = "unready"  // a proxy process did not serve in time
	CounterReported  EventKind = "counted"  // a proxy reports Figure as its counter Note
	LogReported      EventKind = "logged"   // a proxy's log has Figure lines Note
	BadClientIgnored EventKind = "ignored"  // a bad client was neither told nor closed on in time
	LimitExceeded    EventKind = "over"     // a proxy process was killed, since it used Figure of what Note names
	ProcessHung      EventKind = "hung"     // a proxy process answered nobody for Figure seconds
	CommandInvented  EventKind = "invented" // a node has received a command, Note, that no client has sent
	CrowdCame        EventKind = "crowded"  // clients that say nothing came to a proxy, or left: Note is crowdBegins or crowdEnds
	SentLate         EventKind = "late"     // the load generator sent a request Figure milliseconds too late
)

// Notes of ProcessEnded events.
const (
	endKilled   = "killed"
	endReplaced = "replaced" // a successor has taken over
	endStopped  = "stopped"  // told to end, it shut down gracefully
	endCrashed  = "crashed"
)

// Notes of ProcessPaused events.
const (
	pauseBegins = "stands"
	pauseEnds   = "goes on"
)

// Notes of CrowdCame events.
const (
	crowdBegins = "come"
	crowdEnds   = "go"
)

// noteReused is a ConnectionClosed event's note where the connection had served a request before.
const noteReused = "reused"

// Event is a recorded event.
type Event struct {
	At                         time.Duration // from the event log's start
	Kind                       EventKind
	RequestID                  string // of the request
	Proxy                      int    // -1: none
	Node                       string
	Note                       string
	MadeFor                    string
	Figure                     float64
	GossipBytes, GossipPackets int64 // of gossip, since the proxy process began
}

// EventLog collects the events of a run. Its methods may be called concurrently, and Record on nil.
type EventLog struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewEventLog returns an empty log that starts now.
func NewEventLog() *EventLog { return &EventLog{start: time.Now()} }

// Record adds an event and sets its time.
func (l *EventLog) Record(event Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	event.At = time.Since(l.start)
	l.events = append(l.events, event)
}

// All returns a copy of the events, in order.
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
