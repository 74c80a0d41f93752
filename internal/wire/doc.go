// Package wire encodes and parses the protocols that the proxy uses on its sockets: RESP2 with clients and caches,
// HTTP/1.1 with the origin, and an HTTP/1.1 watch of JSON objects with service discovery.
//
// The parsers work in place in the reader's buffer and allocate memory only for values. The package keeps no state
// between messages, starts no goroutine and makes no routing decisions. Its functions may be called from any goroutine,
// but a reader and the values parsed from it may be used by only one goroutine at a time.
//
// Malformed input is reported as an error that wraps [ErrProtocol], an incomplete message as [ErrIncomplete], and an
// upstream attempt that ended without a complete response as a [*AttemptError].
package wire
