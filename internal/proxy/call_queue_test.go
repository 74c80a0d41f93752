package proxy

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

// Guards against a goroutine and a mailbox with capacity for 3000 calls for each server of the endpoint list, even for
// servers that receive no requests.
func TestServersWithoutRequestsCostNoGoroutine(t *testing.T) {
	const servers = 3200
	router := newTestRouter()
	endpoints := make([]wire.Endpoint, servers)
	for i := range endpoints {
		endpoints[i] = wire.Endpoint{Name: fmt.Sprint("c", i), Address: "127.0.0.1:1", Ready: true}
	}
	before := runtime.NumGoroutine()
	router.updateEndpoints(endpointUpdate{complete: true, source: listKnownAtStart, endpoints: endpoints})
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("got %d goroutines for %d servers, had %d before", n, servers, before)
	}
	router.closeIdleConns()
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("got %d goroutines after closeIdleConns without idle connections", n)
	}
}

// Guards against dropping the cancellation or the end of an attempt because the mailbox of its host is full. The queue
// keeps any number of calls in order, and refuses only new attempts when it is too long.
func TestCallsOfBusyHostAreNotLost(t *testing.T) {
	const posted = 3 * maxHostCalls
	busy, done := make(chan struct{}), make(chan struct{})
	queue := callQueue{execute: func(call func()) { call() }}
	queue.post(func() { <-busy })
	var executed []int
	for i := range posted {
		queue.post(func() { executed = append(executed, i) })
	}
	if queue.tryPost(func() {}, maxHostCalls) {
		t.Error("tryPost accepts an attempt for a host with a full queue")
	}
	queue.post(func() { close(done) })
	close(busy)
	<-done
	for i, call := range executed {
		if call != i {
			t.Fatalf("call %d was executed at position %d", call, i)
		}
	}
	if len(executed) != posted {
		t.Errorf("%d of %d calls were executed", len(executed), posted)
	}
}

// Guards against a limit on queued attempts that does not count the calls which the queue's goroutine has taken but not yet
// executed: with a slow call at their head any number of attempts was accepted.
func TestTakenCallsCountAgainstLimit(t *testing.T) {
	const limit = 10
	busy := make(chan struct{})
	taken, done := make(chan struct{}), make(chan struct{})
	queue := callQueue{execute: func(call func()) { call() }}
	queue.post(func() { close(taken); <-busy })
	<-taken
	for range limit - 1 {
		queue.post(func() {})
	}
	if queue.tryPost(func() {}, limit) {
		t.Errorf("tryPost accepts a call beyond %d pending ones", limit)
	}
	close(busy)
	queue.post(func() { close(done) })
	<-done
	executed := make(chan struct{})
	if !queue.tryPost(func() { close(executed) }, limit) {
		t.Fatal("tryPost refuses a call although none is pending")
	}
	<-executed
}

// Calls from many goroutines are executed one at a time, and none is lost while the queue's goroutine ends and restarts.
// Afterwards neither a goroutine nor a large buffer remains.
func TestCallQueueGoroutineRunsOnlyWithCalls(t *testing.T) {
	const posters, callsEach = 8, 2000
	before := runtime.NumGoroutine()
	executed := 0 // not synchronized: the race detector reports calls that overlap
	queue := callQueue{execute: func(call func()) { call() }}
	var all, waiting sync.WaitGroup
	all.Add(posters * callsEach)
	for range posters {
		waiting.Go(func() {
			for range callsEach {
				queue.post(func() { executed++; all.Done() })
				runtime.Gosched()
			}
		})
	}
	waiting.Wait()
	all.Wait()
	if executed != posters*callsEach {
		t.Errorf("%d of %d calls were executed", executed, posters*callsEach)
	}
	for end := time.Now().Add(time.Second); runtime.NumGoroutine() > before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if queue.running || len(queue.calls) > 0 || cap(queue.calls) > maxSpareCalls {
		t.Errorf("idle queue: running %v, %d calls, capacity %d", queue.running, len(queue.calls), cap(queue.calls))
	}
}

// Guards against marking every server as not ready while a complete endpoint list is applied, until its entry is
// reached. Attempts that began in that interval were refused.
func TestWholeListLeavesListedServersReady(t *testing.T) {
	const servers, lists = 3200, 20
	router := newTestRouter()
	update := endpointUpdate{complete: true}
	for i := range servers {
		update.endpoints = append(update.endpoints, wire.Endpoint{Name: fmt.Sprint("c", i), Address: "127.0.0.1:1", Ready: true})
	}
	router.updateEndpoints(update)
	last, ended := router.hosts[servers-1], make(chan struct{})
	go func() {
		defer close(ended)
		for range lists {
			router.updateEndpoints(update)
		}
	}()
	for {
		select {
		case <-ended:
			return
		default:
		}
		if !last.ready.Load() {
			t.Fatal("a server that is in both the old and the new list is not ready during the update")
		}
	}
}

// Guards against listed servers that take 24 KB or more each. The operators' page documents 4 MB per thousand servers.
func TestListedServersStayWithinDocumentedMemory(t *testing.T) {
	const servers, maxBytesEach = 3200, 4 << 10
	endpoints := make([]wire.Endpoint, servers)
	for i := range endpoints {
		name := fmt.Sprint("c", i)
		endpoints[i] = wire.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Ready: true, Weight: 1}
	}
	before := liveHeap()
	router := newTestRouter()
	router.updateEndpoints(endpointUpdate{complete: true, source: listKnownAtStart, endpoints: endpoints})
	each := (liveHeap() - before) / servers
	runtime.KeepAlive(router)
	t.Logf("%d bytes each", each)
	if each > maxBytesEach {
		t.Errorf("got %d bytes for each of %d servers, want at most %d", each, servers, maxBytesEach)
	}
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // completes the sweep of the first collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
