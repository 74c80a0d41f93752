package fleet

import (
	"testing"

	"go.uber.org/zap"

	"woodproxy/brain"
	"woodproxy/internal/terms"
)

// A panic in one call is counted and ends there: the actor goes on with the next.
func TestPanicStops(t *testing.T) {
	count := &Counters{}
	book := &terms.Book{Terms: brain.Terms{Routes: []brain.Route{{Objective: 6000, Overall: 12000, Value: 1}}}}
	m := NewMind(book, 1, NewClock(), 1, count, zap.NewNop())
	go m.Run()
	done := make(chan struct{})
	m.box.post(func() { panic("odd") })
	m.box.post(func() { close(done) })
	<-done
	if n := count.Panics.Load(); n != 1 {
		t.Errorf("%d panics counted", n)
	}
}

// The clock counts tenths of a millisecond of Unix time, as the list's starting times do.
func TestClock(t *testing.T) {
	c := NewClock()
	if got, want := c.Now(), brain.Time(c.base.UnixMilli()*10); got < want || got > want+second {
		t.Errorf("%d at %d", got, want)
	}
}

const second = 10000
