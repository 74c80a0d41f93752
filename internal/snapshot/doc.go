// Package snapshot reads and writes the state file, in which a proxy keeps its endpoint list and the addresses of its
// peers across restarts.
//
// The file is replaced atomically: a new one is written and synced beside it, then renamed over it. It starts with a
// magic number, a format version and a checksum of the rest, so that a reader gets either a complete snapshot or an
// error, never a part of one.
//
// A [Store] does blocking file I/O and holds no lock. Callers keep it off the path of requests and call it from one
// goroutine at a time.
package snapshot
