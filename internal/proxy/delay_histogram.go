package proxy

import (
	"sync"
	"time"
)

// delayBuckets are the upper bounds of the buckets of a DelayHistogram.
var delayBuckets = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// DelayHistogram is a histogram of delays. Any goroutine may use it.
type DelayHistogram struct {
	mu     sync.Mutex
	counts [len(delayBuckets)]uint64 // delays up to the bucket's bound and above that of the bucket before
	count  uint64
	sum    time.Duration
}

func (h *DelayHistogram) observe(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	h.sum += delay
	for i, bound := range delayBuckets {
		if delay <= bound {
			h.counts[i]++
			return
		}
	}
}

// Cumulative returns the number and the sum in seconds of all delays, and the number of delays up to each bound in seconds.
func (h *DelayHistogram) Cumulative() (count uint64, sum float64, upTo map[float64]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	upTo, total := make(map[float64]uint64, len(delayBuckets)), uint64(0)
	for i, bound := range delayBuckets {
		total += h.counts[i]
		upTo[bound.Seconds()] = total
	}
	return h.count, h.sum.Seconds(), upTo
}
