package simadapter_test

// The generator's times and durations are in microseconds.

// random is a splitmix64 generator. The recorded sessions depend on its numbers, and those of the standard library's
// generator may change between Go versions.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below returns a number in [0,n).
func (r *random) below(n int) int { return int(r.next() >> 1 % uint64(n)) }

// between returns a number in [least,most].
func (r *random) between(least, most int64) int64 {
	return least + int64(r.below(int(most-least+1)))
}

// percent returns true with a probability of p percent.
func (r *random) percent(p int) bool { return r.below(100) < p }

// behavior is the current behavior of a cache node or an origin.
type behavior int

const (
	healthy behavior = iota
	silent
	unreachable
	overloaded
	faulty
	slow
	behaviorCount
)

// endpointNode is a cache node or an origin of the generated fleet.
type endpointNode struct {
	name, kind, zone, state string
	cell                    int
	since                   int64
	weight                  float64
	behavior                behavior
}

// row returns the node's entry in a register message.
func (n *endpointNode) row() []any {
	var since any = milliseconds(n.since)
	if n.since == 0 {
		since = nil
	}
	return []any{n.kind, n.state, n.cell, since, n.weight, n.zone, n.name}
}

// clientRequest is a request sent to an instance.
type clientRequest struct {
	instance  int
	id        string
	route     routeShape
	key       any
	deadline  int64
	cancelsAt int64 // 0 if the client waits until its deadline
	attempts  int
	finished  bool
	streaming bool
}

// upstreamAttempt is an attempt requested by an instance, with its randomly chosen outcome.
type upstreamAttempt struct {
	request      *clientRequest
	node         string
	number       int
	sent         int64
	startsAt     int64 // start of the response's stream; 0 if the response is not streamed
	started      bool
	endsAt       int64
	outcome      string
	note, report any // fields that the adapter ignores
}

// timer is a timer set by an instance.
type timer struct {
	instance int
	dueAt    int64
	mark     any // number of the timer
}

// peerMessage is a report in transit to a peer.
type peerMessage struct {
	instance, from int
	dueAt          int64
	payload        any
}

// clientRetry is a client's retry of a request that was rejected.
type clientRetry struct {
	dueAt int64
	of    *clientRequest
}

// listReply is the reply to a poll for the endpoint list.
type listReply struct {
	instance int
	dueAt    int64
	mode     string
}
