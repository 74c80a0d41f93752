package balancer

import "slices"

// requestQueue holds the requests that wait for capacity at the origin, by priority and in order of arrival
// within a priority.
type requestQueue struct {
	byPriority [queuePriorities][]int
	length     int
}

func (q *requestQueue) push(priority queuePriority, request int) {
	q.byPriority[priority] = append(q.byPriority[priority], request)
	q.length++
}

// first returns the request to serve next. The queue must not be empty.
func (q *requestQueue) first() int {
	for i := range q.byPriority {
		if len(q.byPriority[i]) > 0 {
			return q.byPriority[i][0]
		}
	}
	panic("balancer: first called on an empty queue")
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

// queuePriority is the priority of a request that waits for the origin; lower values are served first.
type queuePriority int

const (
	writePriority queuePriority = iota
	readPriority
	queuePriorities
)
