package proxy

import "sync/atomic"

// reservation is an amount of a budget that several holders share. The last of them returns it to the budget. Any goroutine
// may use it. A nil reservation is of nothing.
type reservation struct {
	budget  *budget
	amount  int
	holders atomic.Int32
}

// newReservation returns the reservation of an amount that was acquired from a budget, for one holder.
func newReservation(b *budget, acquired int) *reservation {
	r := &reservation{budget: b, amount: acquired}
	r.holders.Store(1)
	return r
}

// retain adds a holder. The caller must know of one that has not released the reservation yet.
func (r *reservation) retain() {
	if r != nil {
		r.holders.Add(1)
	}
}

// release removes a holder, and returns the amount to the budget if it was the last one.
func (r *reservation) release() {
	if r != nil && r.holders.Add(-1) == 0 {
		r.budget.release(r.amount)
	}
}
