package balancer

import "slices"

// requestQueue holds the requests that wait for capacity at the origin: first come, first served within a
// priority.
type requestQueue struct {
	byPriority [queuePriorities][]int
	length     int
}

func (q *requestQueue) push(priority queuePriority, request int) {
	q.byPriority[priority] = append(q.byPriority[priority], request)
	q.length++
}

// first returns the request to be served next. The queue must not be empty.
func (q *requestQueue) first() int {
	for i := range q.byPriority {
		if len(q.byPriority[i]) > 0 {
			return q.byPriority[i][0]
		}
	}
	panic("balancer: first of an empty queue")
}

func (q *requestQueue) remove(request int) {
	q.length--
	for i := range q.byPriority {
		if j := slices.Index(q.byPriority[i], request); j >= 0 {
			q.byPriority[i] = slices.Delete(q.byPriority[i], j, j+1)
		}
	}
}

func (b *Instance) dequeue(index int) {
	b.requests[index].queued = false
	b.originQueue.remove(index)
}

// coalescer knows which requests fetch a key from the origin and which wait for them. Both maps are emptied
// as fetches complete.
type coalescer struct {
	leaders   map[uint64]int   // by key: the request that fetches it
	followers map[uint64][]int // by key: the requests that wait for its fetch
}

func newCoalescer() coalescer {
	return coalescer{leaders: map[uint64]int{}, followers: map[uint64][]int{}}
}

func (b *Instance) unfollow(index int) {
	request := &b.requests[index]
	request.following = false
	b.coalescing.followers[request.Key] = slices.DeleteFunc(b.coalescing.followers[request.Key],
		func(follower int) bool { return follower == index })
}

// finish forgets a request but for its attempts that are still in flight.
func (b *Instance) finish(index int) {
	request := &b.requests[index]
	request.live = false
	b.clearDeadline(index)
	if request.queued {
		b.dequeue(index)
	}
	if request.following {
		b.unfollow(index)
	}
	if request.leadsFetch {
		b.completeFetch(request)
	}
}

// queuePriority orders the requests that wait for the origin.
type queuePriority int

const (
	writesFirst queuePriority = iota
	readsLast
	queuePriorities
)
