package emulator

import (
	"errors"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

var errQueueFull = errors.New("the queue is full")

// workQueue is a node's capacity: commands beyond its queue are rejected, and each that waits makes all slower. A node that starts
// anew is slow at first. Its methods may be called concurrently.
type workQueue struct {
	NodeCapacity
	slowStart    time.Duration
	initialSpeed float64 // part of the full speed at the beginning of the slow start
	waiting      atomic.Int64
	cores        chan struct{} // one element for each command in service

	mu        sync.Mutex
	slowdown  float64   // factor on the usual service time
	startedAt time.Time // begin of the slow start; zero: there is none
}

func newWorkQueue(server NodeCapacity, slowStart time.Duration, initialSpeed float64) *workQueue {
	return &workQueue{
		NodeCapacity: server, slowStart: slowStart, initialSpeed: initialSpeed, slowdown: 1, cores: make(chan struct{}, server.Cores),
	}
}

// setSlowdown sets the factor by which service takes longer than usual.
func (q *workQueue) setSlowdown(factor float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slowdown = factor
}

// start begins a slow start at a moment; at the zero time there is none.
func (q *workQueue) start(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startedAt = at
}

// started returns when the slow start began.
func (q *workQueue) started() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.startedAt
}

// commandsPerSecond returns the full capacity.
func (q *workQueue) commandsPerSecond() float64 { return float64(q.Cores) * 1000 / q.ServiceMS }

// speed returns the present part of the full speed.
func (q *workQueue) speed() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	part := 1.0
	if age := time.Since(q.startedAt); !q.startedAt.IsZero() && age < q.slowStart {
		part = q.initialSpeed + (1-q.initialSpeed)*float64(age)/float64(q.slowStart)
	}
	return part / q.slowdown
}

// process serves a command, whose service time depends on the request and the node alone. It returns errQueueFull where the
// command is rejected.
func (q *workQueue) process(id, node string) error {
	if q.waiting.Add(1) > int64(q.Queue+q.Cores) {
		q.waiting.Add(-1)
		return errQueueFull
	}
	defer q.waiting.Add(-1)
	q.cores <- struct{}{}
	defer func() { <-q.cores }()
	serviceMS := -math.Log(1-hashedFloat(id, node, "work")) * q.ServiceMS / q.speed()
	serviceMS *= 1 + q.Thrash*float64(max(q.waiting.Load()-int64(q.Cores), 0))
	time.Sleep(millis(serviceMS))
	return nil
}

// hashedFloat returns a pseudo-random number in [0, 1) that is the same for the same words on every run.
func hashedFloat(words ...string) float64 {
	h := fnv.New64a()
	for _, w := range words {
		_, _ = h.Write([]byte(w + "\x00")) // a hash's Write returns no error
	}
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64()
}
