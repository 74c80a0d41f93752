package proxy

import "sync/atomic"

// budget bounds how much there may be of a resource, such as sockets that are open to all hosts together, or bytes of
// values. Any goroutine may use it.
type budget struct {
	available atomic.Int64  // negative where more is used than there is since the budget was resized or exceeded
	used      *atomic.Int64 // the counter that shows what is used
}

func newBudget(n int, used *atomic.Int64) *budget {
	b := &budget{used: used}
	b.available.Store(int64(n))
	return b
}

// tryAcquire takes n, or nothing and returns false if there is less.
func (b *budget) tryAcquire(n int) bool {
	if b.available.Add(int64(-n)) >= 0 {
		b.used.Add(int64(n))
		return true
	}
	b.available.Add(int64(n))
	return false
}

// acquire counts n that is in use already, whether or not there is as much.
func (b *budget) acquire(n int) {
	b.available.Add(int64(-n))
	b.used.Add(int64(n))
}

func (b *budget) release(n int) {
	b.available.Add(int64(n))
	b.used.Add(int64(-n))
}

// resize changes the size by a difference. Nothing is taken back: where more is used than there is, tryAcquire fails
// until enough is released.
func (b *budget) resize(by int) { b.available.Add(int64(by)) }
