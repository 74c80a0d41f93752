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

func (b *Balancer) dequeue(index int) {
	b.requests[index].queued = false
	b.originQueue.remove(index)
}

// queuePriority orders the requests that wait for the origin.
type queuePriority int

const (
	writePriority queuePriority = iota
	readPriority
	queuePriorities
)
