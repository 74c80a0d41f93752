package proxy

import (
	"sync/atomic"
	"time"

	"woodproxy/internal/settings"
	"woodproxy/negativecache"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const absentTick = 25 * time.Millisecond

// Absent is the actor of what is known of keys that the origin lacks. Clients' goroutines look keys up in its table and take writes
// there by themselves, under the table's locks alone; what is told to other proxies, and what of theirs is believed, goes by it.
type Absent struct {
	box   mailbox
	in    *negativecache.Instance
	table *negativecache.Table
	clock Clock
	book  *settings.Book
	say   func(d *negativecache.Decision) // to peers; it may not wait. nil: there are none
	lost  atomic.Bool                     // a write found no room in the mailbox
	sent  atomic.Int64
	shown atomic.Pointer[negativecache.Figures]
	count *Counters
	log   *zap.Logger
}

// NewAbsent returns the actor, by which the module's answers what it knows to be missing. It is called before that runs.
func NewAbsent(t negativecache.Terms, router *Router, say func(d *negativecache.Decision), log *zap.Logger) *Absent {
	in := negativecache.New(negativecache.Time(router.clock.Now()), t)
	a := &Absent{box: make(mailbox, 1024), in: in, table: in.Table, clock: router.clock, book: router.book, say: say, count: router.count, log: log}
	a.shown.Store(&negativecache.Figures{})
	router.absent = a
	return a
}

// Run carries out calls for as long as the program lives.
func (a *Absent) Run() {
	ticks := time.NewTicker(absentTick)
	for {
		select {
		case call := <-a.box:
			guarded(a.log, a.count, call)
		case <-ticks.C:
			guarded(a.log, a.count, a.tick)
		}
	}
}

func (a *Absent) tick() {
	if a.lost.Swap(false) {
		a.in.Lost()
	}
	a.act(a.in.Tick(a.now()))
	f := a.in.Shown()
	a.shown.Store(&f)
}

func (a *Absent) now() negativecache.Time { return negativecache.Time(a.clock.Now()) }

func (a *Absent) act(ds []negativecache.Decision) {
	for i := range ds {
		if d := &ds[i]; d.Act == negativecache.Log {
			a.log.Info("missing: " + d.Text)
		} else if a.say != nil {
			a.say(d)
		}
	}
	a.sent.Store(a.in.Sent())
}

// Sent is how many words on writes have gone out.
func (a *Absent) Sent() int64 { return a.sent.Load() }

// Shown is how it stood a moment ago.
func (a *Absent) Shown() negativecache.Figures { return *a.shown.Load() }

// Fleet takes who may write, of so many that operators state.
func (a *Absent) Fleet(all []negativecache.Proxy, stated int, behind bool) {
	a.box.offer(func() { a.act(a.in.Fleet(a.now(), all, stated, behind)) })
}

// HeardWrote and HeardAbsent take what other proxies say. The table has what was written at once.
func (a *Absent) HeardWrote(from string, epoch int64, w negativecache.Word) {
	now := a.now()
	for _, h := range w.Hashes[:min(len(w.Hashes), 1024)] {
		a.table.Wrote(h, now)
	}
	a.box.offer(func() { a.act(a.in.HeardWrote(a.now(), from, epoch, w)) }) // where there is no room it is missed, and found out
}

func (a *Absent) HeardAbsent(from string, w negativecache.Word, age negativecache.Time) {
	a.box.offer(func() { a.act(a.in.HeardAbsent(a.now(), from, w, age)) })
}

// Forget has all be forgotten.
func (a *Absent) Forget() bool {
	return a.box.offer(func() { a.act(a.in.Forget(a.now())) })
}

// knows tells whether an exchange can be answered that its key is missing; a write's key no longer is.
func (a *Absent) knows(t *request) bool {
	if a == nil {
		return false
	}
	h := xxhash.Sum64(t.key)
	if t.value == nil {
		return a.table.Has(h, a.now())
	}
	a.table.Wrote(h, a.now())
	if !a.box.offer(func() { a.act(a.in.Wrote(a.now(), h)) }) {
		a.lost.Store(true)
	}
	return false
}

// begin notes that the origin is about to be asked.
func (a *Absent) begin(t *try) {
	if a != nil && t.request.value == nil {
		t.ticket = a.table.Begin(xxhash.Sum64(t.request.key))
	}
}

// learned takes the origin's word that it has no such key.
func (a *Absent) learned(t *try) {
	h, k := xxhash.Sum64(t.request.key), t.ticket
	tenant, ok := a.book.Tenants[t.request.tenant]
	if !ok {
		tenant = -1
	}
	a.box.offer(func() { a.act(a.in.Learned(a.now(), h, k, tenant)) })
}
