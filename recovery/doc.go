// Package recovery tracks the recovery of a proxy after a restart or a long pause of its process. It decides which
// stage of recovery the proxy is in, when a stage ends, and which endpoint list the proxy starts with.
//
// The stages are standalone (the proxy has only its configuration and its state file), catching up (it synchronizes
// with its peers), warming up (it has the replicated state, but few measurements of its endpoints) and full service.
// Each of the first three stages ends as soon as its condition is met, and at its time limit at the latest. A proxy
// serves requests in every stage.
//
// [New] returns the tracker of one proxy. A tracker does no I/O, reads no clock and starts no goroutine. Each method
// that takes an event, most of them with the caller's time, returns the resulting stage changes. The same sequence of
// calls gives the same results. A tracker is not safe for concurrent use: the caller must hold a lock around each call,
// and copy the returned changes before the next call.
package recovery
