package emulator

import (
	"sync"
	"time"
)

// What the stand-ins see.
const (
	Asked    = "asked"    // a client wrote a request whole
	Answered = "answered" // a client has a final answer: Note tells which, Made whom its value was made for
	Closed   = "closed"   // the connection ended under a request
	Went     = "went"     // the client left
	Took     = "took"     // a node has a try whole
	Ran      = "ran"      // the origin carried out a write, whose mark is Note
	Lacked   = "lacked"   // the origin has no key Note, and says so
	Told     = "told"     // discovery wrote to a proxy what has become of a node: Note is its status
	Began    = "began"    // a node starts: its capacity at first is Figure, in commands a second when warm
	Ended    = "ended"    // a proxy's process ended: Note tells how
	Shared   = "shared"   // a proxy says that its share of the fleet's limits is Figure, and Note what it holds of nodes
	Paused   = "paused"   // a proxy's process is stopped where it stands, or goes on: Note "goes on"
	Late     = "late"     // the load itself: a request went out so late, Figure in milliseconds
)

// Seen is one thing seen.
type Seen struct {
	At             time.Duration
	What           string
	ID             string // of the request
	Proxy          int    // -1: none
	Node           string
	Note           string
	Made           string
	Figure         float64
	Bytes, Packets int64 // of the talk with peers, since the process began
}

// Log keeps what is seen on a day.
type EventLog struct {
	mu     sync.Mutex
	start  time.Time
	events []Seen
}

// NewLog begins a day's.
func NewEventLog() *EventLog { return &EventLog{start: time.Now()} }

// See notes something.
func (l *EventLog) Record(s Seen) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.At = time.Since(l.start)
	l.events = append(l.events, s)
}

// All returns what was seen, in order.
func (l *EventLog) All() []Seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Seen(nil), l.events...)
}

// Of returns what was seen of one request.
func EventsOfRequest(events []Seen, id string) []Seen {
	var related []Seen
	for _, s := range events {
		if s.ID == id {
			related = append(related, s)
		}
	}
	return related
}
