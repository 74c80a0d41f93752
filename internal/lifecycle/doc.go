// Package lifecycle decides which operations of the data path are permitted in the current state of a request, an
// attempt, a connection, a watch or the process: whether an attempt may begin, be retried or hedged, whether a reply
// may be written, a connection be reused or closed, a watch be opened, and whether the process may exit. These decisions
// are made in no other package.
//
// States and events are typed, and one table holds the permitted state transitions of a request. Callers pass the
// conditions as they are immediately before the system call and receive a [Refusal], which has the same text in logs and
// metrics. The package performs no I/O, reads no clock and starts no goroutine.
//
// Package invariant checks the same guarantees against the recorded behavior and shares no code with this package.
package lifecycle
