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

var errQueueFull = errors.New("queue is full")

// workQueue models the capacity of a node. Commands that exceed the queue are rejected, each waiting command slows down all
// others, and a node in slow start serves at a reduced speed. The methods may be called concurrently.
type workQueue struct {
	NodeCapacity
	slowStart    time.Duration
	initialSpeed float64 // speed at the beginning of the slow start, as a fraction of the full speed
	waiting      atomic.Int64
	cores        chan struct{} // one element for each command in service

	mu        sync.Mutex
	slowdown  float64   // factor on the normal service time
	startedAt time.Time // start of the slow start; zero: none
}

func newWorkQueue(capacity NodeCapacity, slowStart time.Duration, initialSpeed float64) *workQueue {
	return &workQueue{
		NodeCapacity: capacity, slowStart: slowStart, initialSpeed: initialSpeed, slowdown: 1, cores: make(chan struct{}, capacity.Cores),
	}
}

// setSlowdown sets the factor on the normal service time.
func (q *workQueue) setSlowdown(factor float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slowdown = factor
}

// start begins a slow start at a time. The zero time ends it.
func (q *workQueue) start(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startedAt = at
}

// started returns the time at which the slow start began, or the zero time if there is none.
func (q *workQueue) started() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.startedAt
}

// commandsPerSecond returns the full capacity in commands per second.
func (q *workQueue) commandsPerSecond() float64 { return float64(q.Cores) * 1000 / q.ServiceMS }

// speed returns the current speed as a fraction of the full speed.
func (q *workQueue) speed() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	fraction := 1.0
	if age := time.Since(q.startedAt); !q.startedAt.IsZero() && age < q.slowStart {
		fraction = q.initialSpeed + (1-q.initialSpeed)*float64(age)/float64(q.slowStart)
	}
	return fraction / q.slowdown
}

// process serves a command and blocks meanwhile. The random service time depends only on the request ID and the node, so
// that runs are repeatable; it is then scaled by the node's current speed and queue. It returns errQueueFull if the command
// is rejected.
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

// hashedFloat returns a pseudo-random number in [0, 1) that depends only on the words.
func hashedFloat(words ...string) float64 {
	h := fnv.New64a()
	for _, w := range words {
		_, _ = h.Write([]byte(w + "\x00")) // Write of a hash.Hash never returns an error
	}
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64()
}
