// Package snapshot reads and writes the state file, which keeps the endpoint list and the peer addresses of a proxy across
// restarts.
//
// The file is replaced atomically: a new file is written and synced in the same directory, then renamed to the name of the
// state file. The file starts with a magic number, a format version and a checksum of the body, so that a reader gets either
// a complete snapshot or an error, never part of a snapshot.
//
// A [Store] does blocking file I/O and holds no lock. Callers must keep it off the request path and call its methods from
// one goroutine at a time.
package snapshot
