// Package wire encodes and parses the protocols that the proxy speaks on its sockets: RESP2 with clients and caches,
// HTTP/1.1 with the origin, and an HTTP/1.1 watch of JSON objects with service discovery.
//
// The parsers work in place in the reader's buffer and allocate for values only. The package holds no state beyond
// the message at hand, starts no goroutine and decides nothing; its functions may be called from any goroutine, but a
// reader and the values parsed from it belong to one goroutine at a time.
//
// Malformed input is reported as an error that wraps [ErrProtocol], a message that is not complete yet as [ErrIncomplete],
// and an upstream attempt that ended without a complete response as a [*AttemptError].
package wire
