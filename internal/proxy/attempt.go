package proxy

import (
	"sync/atomic"

	"woodproxy/balancer"
	"woodproxy/negativecache"
)

// attempt is one attempt to have a request answered by an upstream host. The router makes it and hands it to the host,
// and that to a connection.
type attempt struct {
	request     *request
	slot        int // index of the request's slot
	host        int // index of the host
	sentAt      balancer.Time
	timeout     balancer.Time // from sentAt
	startBefore balancer.Time // not to be begun later; 0: there is no such time
	cancelled   atomic.Bool
	cacheTicket negativecache.FetchToken // of a fetch from the origin
	notFound    bool                     // the origin has answered that it has no such key
	streaming   bool                     // its value is being streamed: for the router it has completed
	conn        *upstreamConn            // that carries it, or nil; only the host's goroutine looks
}

// attemptResult is how an attempt ended. A completed one has a value, or a stream in place of it, unless the origin has
// no such key.
type attemptResult struct {
	outcome balancer.Outcome
	value   []byte // counted in the value memory
	stream  *stream
}
