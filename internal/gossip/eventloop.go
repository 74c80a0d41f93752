package gossip

import (
	"sync/atomic"
	"time"
)

const (
	tickInterval    = 100 * time.Millisecond
	stallThreshold  = 10 * tickInterval
	mailboxCapacity = 1024

	// Intervals in iterations of the event loop, which are ticks or, under load, calls from the mailbox as well.
	statusInterval  = 5
	membersInterval = 2
)

// mailbox passes function calls to the event loop.
type mailbox struct {
	calls   chan func()
	closed  <-chan struct{}
	dropped *atomic.Int64
}

func newMailbox(closed <-chan struct{}, dropped *atomic.Int64) mailbox {
	return mailbox{calls: make(chan func(), mailboxCapacity), closed: closed, dropped: dropped}
}

// post enqueues a call that must not be lost. It waits for space.
func (m *mailbox) post(call func()) {
	select {
	case m.calls <- call:
	case <-m.closed:
	}
}

// offer enqueues a call, or drops and counts it if there is no space.
func (m *mailbox) offer(call func()) {
	select {
	case m.calls <- call:
	default:
		m.dropped.Add(1)
	}
}

// run is the event loop.
func (a *Agent) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for iteration := 0; ; iteration++ {
		select {
		case <-a.ctx.Done():
			return
		case call := <-a.mailbox.calls:
			if time.Since(lastTick) > stallThreshold {
				// The process was suspended: the store has to know before it takes what arrived meanwhile.
				lastTick = time.Now()
				a.apply(a.store.Tick(a.now()))
			}
			call()
		case <-ticker.C:
			lastTick = time.Now()
			a.tick(iteration)
		}
	}
}

// tick does the periodic work.
func (a *Agent) tick(iteration int) {
	a.reportLoad()
	a.apply(a.store.Tick(a.now()))
	if a.joiner.due() {
		a.joiner.check(a.ctx, iteration, a.store.Members())
	}
	if iteration%statusInterval == 0 {
		a.updateStatus()
	}
	if iteration%membersInterval == 0 {
		a.handler.MembersUpdated(a.store.Members(), a.store.CatchingUp())
	}
}

// reportLoad passes this proxy's load on to the store, from where peers get it.
func (a *Agent) reportLoad() {
	if elapsed := time.Since(a.demand.sampledAt); elapsed >= demandSampleInterval {
		a.store.SetDemand(a.demand.sample(a.handler.RequestCount(), elapsed))
	}
	a.store.SetWritesSent(a.handler.WriteRowCount())
}
