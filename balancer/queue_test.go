package balancer

import (
	"slices"
	"testing"
)

func TestRequestQueueServesWritesFirst(t *testing.T) {
	var q requestQueue
	for _, read := range []int{3, 1, 2} {
		q.push(readPriority, read)
	}
	for _, write := range []int{9, 8} {
		q.push(writePriority, write)
	}
	q.remove(1)
	var got []int
	for q.length > 0 {
		first := q.first()
		q.remove(first)
		got = append(got, first)
	}
	if want := []int{9, 8, 3, 2}; !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

func TestDeadlinesExpireInOrder(t *testing.T) {
	b := New(0, Settings{}, 1)
	b.requests = make([]requestState, 4)
	for i := range b.requests {
		b.requests[i].heapIndex = -1
	}
	b.setDeadline(0, 50)
	b.setDeadline(1, 20)
	b.setDeadline(2, 30)
	b.setDeadline(3, 20)
	b.setDeadline(0, 10) // replaces the earlier deadline
	b.clearDeadline(2)
	b.clearDeadline(2) // no deadline set: must have no effect
	var got []int
	for len(b.deadlines.entries) > 0 {
		index := b.deadlines.entries[0].request
		b.clearDeadline(index)
		got = append(got, index)
	}
	if want := []int{0, 1, 3}; !slices.Equal(got, want) {
		t.Errorf("got expiry order %v, want %v", got, want)
	}
	for i := range b.requests {
		if b.requests[i].heapIndex != -1 {
			t.Errorf("request %d: got heap index %d after removal, want -1", i, b.requests[i].heapIndex)
		}
	}
}
