package proxy

import (
	"sync/atomic"
	"time"

	"woodproxy/internal/settings"
	"woodproxy/negativecache"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const negativeCacheTick = 25 * time.Millisecond

// Absent is the actor of what is known of keys that the origin lacks. Clients' goroutines look keys up in its table and take writes
// there by themselves, under the table's locks alone; what is told to other proxies, and what of theirs is believed, goes by it.
type Absent struct {
	mailbox      mailbox
	cache        *negativecache.Instance
	table        *negativecache.Table
	clock        Clock
	settings     *settings.Book
	broadcast    func(d *negativecache.Decision) // to peers; it may not wait. nil: there are none
	writeDropped atomic.Bool                     // a write found no room in the mailbox
	sentWrites   atomic.Int64
	figures      atomic.Pointer[negativecache.Figures]
	counters     *Counters
	log          *zap.Logger
}

// NewAbsent returns the actor, by which the module's answers what it knows to be missing. It is called before that runs.
func NewAbsent(t negativecache.Terms, router *Router, say func(d *negativecache.Decision), log *zap.Logger) *Absent {
	in := negativecache.New(negativecache.Time(router.clock.Now()), t)
	a := &Absent{mailbox: make(mailbox, 1024), cache: in, table: in.Table, clock: router.clock, settings: router.settings, broadcast: say, counters: router.counters, log: log}
	a.figures.Store(&negativecache.Figures{})
	router.negativeCache = a
	return a
}

// Run carries out calls for as long as the program lives.
func (n *Absent) Run() {
	ticks := time.NewTicker(negativeCacheTick)
	for {
		select {
		case call := <-n.mailbox:
			runRecovered(n.log, n.counters, call)
		case <-ticks.C:
			runRecovered(n.log, n.counters, n.tick)
		}
	}
}

func (n *Absent) tick() {
	if n.writeDropped.Swap(false) {
		n.cache.Lost()
	}
	n.execute(n.cache.Tick(n.now()))
	f := n.cache.Shown()
	n.figures.Store(&f)
}

func (n *Absent) now() negativecache.Time { return negativecache.Time(n.clock.Now()) }

func (n *Absent) execute(decisions []negativecache.Decision) {
	for i := range decisions {
		if d := &decisions[i]; d.Act == negativecache.Log {
			n.log.Info("missing: " + d.Text)
		} else if n.broadcast != nil {
			n.broadcast(d)
		}
	}
	n.sentWrites.Store(n.cache.Sent())
}

// Sent is how many words on writes have gone out.
func (n *Absent) Sent() int64 { return n.sentWrites.Load() }

// Shown is how it stood a moment ago.
func (n *Absent) Shown() negativecache.Figures { return *n.figures.Load() }

// Fleet takes who may write, of so many that operators state.
func (n *Absent) Fleet(all []negativecache.Proxy, stated int, behind bool) {
	n.mailbox.tryPost(func() { n.execute(n.cache.Fleet(n.now(), all, stated, behind)) })
}

// HeardWrote and HeardAbsent take what other proxies say. The table has what was written at once.
func (n *Absent) HeardWrote(from string, epoch int64, w negativecache.Word) {
	now := n.now()
	for _, h := range w.Hashes[:min(len(w.Hashes), 1024)] {
		n.table.Wrote(h, now)
	}
	n.mailbox.tryPost(func() { n.execute(n.cache.HeardWrote(n.now(), from, epoch, w)) }) // where there is no room it is missed, and found out
}

func (n *Absent) HeardAbsent(from string, w negativecache.Word, age negativecache.Time) {
	n.mailbox.tryPost(func() { n.execute(n.cache.HeardAbsent(n.now(), from, w, age)) })
}

// Forget has all be forgotten.
func (n *Absent) Forget() bool {
	return n.mailbox.tryPost(func() { n.execute(n.cache.Forget(n.now())) })
}

// knows tells whether an exchange can be answered that its key is missing; a write's key no longer is.
func (n *Absent) lookUp(req *request) bool {
	if n == nil {
		return false
	}
	h := xxhash.Sum64(req.key)
	if req.value == nil {
		return n.table.Has(h, n.now())
	}
	n.table.Wrote(h, n.now())
	if !n.mailbox.tryPost(func() { n.execute(n.cache.Wrote(n.now(), h)) }) {
		n.writeDropped.Store(true)
	}
	return false
}

// begin notes that the origin is about to be asked.
func (n *Absent) beginFetch(attempt *attempt) {
	if n != nil && attempt.request.value == nil {
		attempt.cacheTicket = n.table.Begin(xxhash.Sum64(attempt.request.key))
	}
}

// learned takes the origin's word that it has no such key.
func (n *Absent) recordMiss(attempt *attempt) {
	h, k := xxhash.Sum64(attempt.request.key), attempt.cacheTicket
	tenant, ok := n.settings.Tenants[attempt.request.tenant]
	if !ok {
		tenant = -1
	}
	n.mailbox.tryPost(func() { n.execute(n.cache.Learned(n.now(), h, k, tenant)) })
}
