package gossip

import (
	"sync/atomic"
	"time"
)

const (
	tickInterval    = 100 * time.Millisecond
	stallThreshold  = 10 * tickInterval // time without a tick after which the process is treated as suspended
	mailboxCapacity = 1024              // calls

	// Intervals in iterations of the event loop. An iteration handles either a tick or a call from the mailbox. Periodic
	// work is done at the ticks whose iteration number is a multiple of the interval.
	statusInterval  = 5
	membersInterval = 2
)

// mailbox is the queue of functions that the event loop calls. It is safe for concurrent use.
type mailbox struct {
	calls   chan func()
	closed  <-chan struct{}
	dropped *atomic.Int64 // number of dropped calls and messages
}

func newMailbox(closed <-chan struct{}, dropped *atomic.Int64) mailbox {
	return mailbox{calls: make(chan func(), mailboxCapacity), closed: closed, dropped: dropped}
}

// post enqueues a call that must not be dropped. It waits for space in the mailbox or until the agent is closed.
func (m *mailbox) post(call func()) {
	select {
	case m.calls <- call:
	case <-m.closed:
	}
}

// offer enqueues a call without waiting. If the mailbox is full, it drops the call and counts it.
func (m *mailbox) offer(call func()) {
	select {
	case m.calls <- call:
	default:
		m.dropped.Add(1)
	}
}

// run is the event loop. It returns when the agent's context is canceled.
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
				// The process was suspended. The store must detect this by a tick before it handles messages that arrived in
				// the meantime.
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

// tick performs the periodic work of the event loop.
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

// reportLoad passes this proxy's load to the store, which reports it to peers in its heartbeats.
func (a *Agent) reportLoad() {
	if elapsed := time.Since(a.demand.sampledAt); elapsed >= demandSampleInterval {
		a.store.SetDemand(a.demand.sample(a.handler.RequestCount(), elapsed))
	}
	a.store.SetWritesSent(a.handler.WriteRowCount())
}
