package rebalance

// visit is a state that the search has reached but not yet expanded.
type visit struct {
	cost       int64 // bytes migrated so far
	migrations int32 // number of migrations so far
	state      int32
}

// visitQueue is a heap of visits in ascending order of cost, and of the number of migrations at equal cost. It implements
// [container/heap.Interface].
type visitQueue []visit

func (q visitQueue) Len() int { return len(q) }

func (q visitQueue) Less(i, j int) bool {
	return q[i].cost < q[j].cost || q[i].cost == q[j].cost && q[i].migrations < q[j].migrations
}

func (q visitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a visit. It is called only by package heap.
func (q *visitQueue) Push(x any) { *q = append(*q, x.(visit)) }

// Pop removes and returns the last visit. It is called only by package heap.
func (q *visitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
