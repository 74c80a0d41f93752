// Package recovery decides how a proxy comes back after a restart or a long pause of its process: in which stage of
// recovery it is, when a stage ends, and which endpoint list it starts with.
//
// The stages are standalone (configuration and state file are all it knows), catching up (it synchronizes with its
// peers), warming up (it has the state, but few measurements of its endpoints) and full service. Each of the first
// three ends as soon as its condition holds, and after a time limit in any case. A proxy serves requests in every
// stage.
//
// [New] returns the tracker of one proxy. It does no I/O, reads no clock and starts no goroutine: each method reports
// one event, most with the caller's time, and returns the changes of stage that follow. The same calls give the same
// results. A tracker is not safe for concurrent use: its caller holds a lock around each call, and copies what a call
// returned before it makes the next.
package recovery
