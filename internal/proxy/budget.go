package proxy

import "sync/atomic"

// budget limits the total use of a resource, such as the open sockets to all hosts or the bytes of values in memory.
// Any goroutine may use it.
type budget struct {
	available atomic.Int64  // negative while use exceeds the budget, after resize or acquire
	used      *atomic.Int64 // the exported counter of the amount in use
}

func newBudget(n int, used *atomic.Int64) *budget {
	b := &budget{used: used}
	b.available.Store(int64(n))
	return b
}

// tryAcquire takes n from the budget and reports whether it succeeded. If less than n is available, it takes nothing. There is
// always room for nothing, even while use exceeds the budget.
func (b *budget) tryAcquire(n int) bool { return n == 0 || b.tryAcquireLeaving(0, n) }

// tryAcquireLeaving takes n from the budget if at least rest is available afterwards, and reports whether it succeeded.
func (b *budget) tryAcquireLeaving(rest, n int) bool {
	for {
		available := b.available.Load()
		if available-int64(n) < int64(rest) {
			return false
		}
		if b.available.CompareAndSwap(available, available-int64(n)) {
			b.used.Add(int64(n))
			return true
		}
	}
}

// acquire counts n that is already in use, even if less than n is available.
func (b *budget) acquire(n int) {
	b.available.Add(int64(-n))
	b.used.Add(int64(n))
}

// release returns n to the budget.
func (b *budget) release(n int) {
	b.available.Add(int64(n))
	b.used.Add(int64(-n))
}

// resize changes the size of the budget by delta. It reclaims nothing: if more is in use than the new size allows,
// tryAcquire fails until enough is released.
func (b *budget) resize(delta int) { b.available.Add(int64(delta)) }
