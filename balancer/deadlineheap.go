package balancer

import (
	"cmp"
	"container/heap"
)

// deadlineHeap orders requests by the time of their next check. A request has at most one entry, and none
// after its final reply. It implements heap.Interface and keeps requestState.heapIndex up to date.
type deadlineHeap struct {
	requests *[]requestState
	entries  []deadlineEntry
}

type deadlineEntry struct {
	at      Time
	request int
}

func (h *deadlineHeap) Len() int { return len(h.entries) }

func (h *deadlineHeap) Less(i, j int) bool {
	p, q := h.entries[i], h.entries[j]
	return cmp.Or(cmp.Compare(p.at, q.at), cmp.Compare(p.request, q.request)) < 0
}

func (h *deadlineHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.setHeapIndex(i)
	h.setHeapIndex(j)
}

// Push appends an entry. It is called by container/heap only.
func (h *deadlineHeap) Push(v any) {
	h.entries = append(h.entries, v.(deadlineEntry))
	h.setHeapIndex(len(h.entries) - 1)
}

// Pop removes the last entry. It is called by container/heap only.
func (h *deadlineHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	(*h.requests)[last.request].heapIndex = -1
	return last
}

func (h *deadlineHeap) setHeapIndex(i int) { (*h.requests)[h.entries[i].request].heapIndex = i }

// setDeadline sets the time at which a request is checked next, and replaces any earlier setting.
func (b *Balancer) setDeadline(index int, at Time) {
	request := &b.requests[index]
	request.nextCheckAt = at
	if request.heapIndex < 0 {
		heap.Push(&b.deadlines, deadlineEntry{at, index})
		return
	}
	b.deadlines.entries[request.heapIndex].at = at
	heap.Fix(&b.deadlines, request.heapIndex)
}

func (b *Balancer) clearDeadline(index int) {
	if i := b.requests[index].heapIndex; i >= 0 {
		heap.Remove(&b.deadlines, i)
	}
}
