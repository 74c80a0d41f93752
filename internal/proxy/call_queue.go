package proxy

import (
	"sync"
	"sync/atomic"
)

// maxSpareCalls is the maximum capacity, in calls, of the buffer that an idle queue retains for reuse.
const maxSpareCalls = 4

// callQueue executes calls one at a time, in order, on a goroutine that runs only while calls are queued. It is the
// mailbox of an upstream host. There may be thousands of hosts, most of which receive no requests, so an idle queue
// costs no more than this structure. Any goroutine may post.
type callQueue struct {
	execute func(call func()) // executes a call, and must recover from panics in it

	mu      sync.Mutex
	calls   []func() // not yet executed
	running bool     // a goroutine is executing calls

	pending atomic.Int64 // posted calls whose execution has not ended, those that the goroutine has taken included
}

// post adds a call. It does not block and never drops a call.
func (q *callQueue) post(call func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addLocked(call)
}

// tryPost adds a call unless limit calls are already pending, and reports whether it did.
func (q *callQueue) tryPost(call func(), limit int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending.Load() >= limit {
		return false
	}
	q.addLocked(call)
	return true
}

// addLocked adds a call and starts the goroutine if none is running. The caller holds q.mu.
func (q *callQueue) addLocked(call func()) {
	q.pending.Add(1)
	q.calls = append(q.calls, call)
	if !q.running {
		q.running = true
		go q.run()
	}
}

// run executes calls until the queue is empty.
func (q *callQueue) run() {
	var done []func()
	for calls := q.take(done); len(calls) > 0; calls = q.take(done) {
		for _, call := range calls {
			q.execute(call)
			q.pending.Add(-1)
		}
		clear(calls) // otherwise the buffer would keep the values alive that the calls refer to
		done = calls[:0]
	}
}

// take returns all queued calls and leaves the empty buffer spare in their place. If no calls are queued, it marks the
// goroutine as ended and returns nil.
func (q *callQueue) take(spare []func()) []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls := q.calls
	if cap(spare) > maxSpareCalls {
		spare = nil
	}
	if len(calls) == 0 {
		q.running = false
		if q.calls == nil {
			q.calls = spare
		}
		return nil
	}
	q.calls = spare
	return calls
}
