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
		t.Errorf("served %v, want %v", got, want)
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
	b.setDeadline(0, 10) // moved
	b.clearDeadline(2)
	b.clearDeadline(2) // has none any more
	var got []int
	for len(b.deadlines.entries) > 0 {
		index := b.deadlines.entries[0].request
		b.clearDeadline(index)
		got = append(got, index)
	}
	if want := []int{0, 1, 3}; !slices.Equal(got, want) {
		t.Errorf("expired %v, want %v", got, want)
	}
	for i := range b.requests {
		if b.requests[i].heapIndex != -1 {
			t.Errorf("request %d has index %d in an empty heap", i, b.requests[i].heapIndex)
		}
	}
}
