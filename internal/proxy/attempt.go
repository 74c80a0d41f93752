package proxy

import (
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/negativecache"
)

// attempt is one attempt to get a response to a request from an upstream host. The router creates it and passes it to
// the host, which assigns it to a connection.
type attempt struct {
	request     *request
	slot        int // index of the request's slot
	host        int // index of the host
	sentAt      balancer.Time
	timeout     balancer.Time   // counted from sentAt
	startBefore balancer.Time   // latest time at which the attempt may be written; 0: no limit
	effect      balancer.Effect // of executing the request more than once
	hasWaited   bool            // it has waited for a connection that rested; accessed only by the host's goroutine
	cancelled   atomic.Bool
	deliver     atomic.Bool              // the reply begins with the head of this attempt's response
	fetchToken  negativecache.FetchToken // token of a fetch from the origin
	notFound    bool                     // the origin has responded that the key is absent
	ended       bool                     // the router has its result; accessed only by the router's goroutine
	streaming   bool                     // the value is being streamed; the router already counts the attempt as completed
	conn        *upstreamConn            // connection that carries the attempt, or nil; accessed only by the host's goroutine
}

// attemptResult is the result of an attempt. A completed attempt has either a value or a stream, unless the key is
// absent at the origin.
type attemptResult struct {
	outcome balancer.Outcome
	value   []byte // its bytes are counted in the value memory
	stream  *stream
	conn    connUse // connection that carried the attempt
	// unconfirmed means that the outcome says that the attempt was not executed, and that the response may belong to another
	// request.
	unconfirmed bool
}

// connUse says on which connection an attempt was written. The zero value means on none.
type connUse struct {
	id     uint64 // number of the connection in the process
	served int    // number of responses that had been read on the connection before
}
