// Package lifecycle is the one place that decides whether the data path may take its next step with a request, an
// attempt, a connection, a watch or the process: whether an attempt may begin, be retried or hedged, a reply be
// written, a connection be reused or closed, a watch be opened, the process exit.
//
// States and events are typed, and the transitions that are allowed stand in one table for each kind of object. A
// question is asked with the conditions as they are at the last moment before the system call, and is answered by a
// [Refusal], whose text is the same in logs and metrics. The package does no I/O, reads no clock and starts no
// goroutine.
//
// Package invariant checks the same promises on what has happened, and shares no code with this one.
package lifecycle
