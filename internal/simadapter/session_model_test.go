package simadapter_test

// Times and durations of the generator are in microseconds.

// random is a splitmix64 generator; the standard library's may change its numbers between versions.
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

// percent holds by chance.
func (r *random) percent(p int) bool { return r.below(100) < p }

// behavior is how a cache node or an origin behaves for a while.
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

// endpointNode is a cache node or an origin of the generated site.
type endpointNode struct {
	name, kind, zone, state string
	cell                    int
	since                   int64
	weight                  float64
	behavior                behavior
}

// row is the node's entry in a register message.
func (n *endpointNode) row() []any {
	var since any = milliseconds(n.since)
	if n.since == 0 {
		since = nil
	}
	return []any{n.kind, n.state, n.cell, since, n.weight, n.zone, n.name}
}

// clientRequest is a request that an instance was given.
type clientRequest struct {
	instance  int
	id        string
	route     routeShape
	key       any
	deadline  int64
	cancelsAt int64 // 0: the client stays until its deadline
	attempts  int
	finished  bool
	streaming bool
}

// upstreamAttempt is an attempt that an instance decided on, with the outcome that was drawn for it.
type upstreamAttempt struct {
	request      *clientRequest
	node         string
	number       int
	sent         int64
	startsAt     int64 // of a stream; 0: none
	started      bool
	endsAt       int64
	outcome      string
	note, report any // both are ignored
}

// timer is one that an instance asked for.
type timer struct {
	instance int
	dueAt    int64
	mark     any // its number
}

// peerMessage is a report on its way to a peer.
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
