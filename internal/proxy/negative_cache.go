package proxy

import (
	"sync/atomic"
	"time"

	"woodproxy/internal/settings"
	"woodproxy/negativecache"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	negativeCacheTick        = 25 * time.Millisecond
	negativeCacheMailboxSize = 1024
	// maxWriteHashes bounds the hashes that are taken from one message on writes.
	maxWriteHashes = 1024
)

// NegativeCache is the goroutine of the negative cache: of keys that are known to be absent at the origin. Clients' goroutines
// look keys up in its table and note writes there by themselves, under the table's locks; what is told to other
// proxies, and what of theirs is believed, is decided on this goroutine. Exported methods may be called from any.
type NegativeCache struct {
	mailbox      mailbox
	cache        *negativecache.Cache
	table        *negativecache.Table
	clock        Clock
	settings     *settings.Settings
	counters     *Counters
	log          *zap.Logger
	broadcast    func(d *negativecache.Decision) // tells other proxies; it must not wait. nil: there are none
	writeDropped atomic.Bool                     // a write found the mailbox full
	sentWrites   atomic.Int64                    // messages on writes
	figures      atomic.Pointer[negativecache.Stats]
}

// NewNegativeCache returns the negative cache of a router, which answers by it. It is to be called before the router runs.
func NewNegativeCache(
	terms negativecache.Settings, router *Router, broadcast func(d *negativecache.Decision), log *zap.Logger,
) *NegativeCache {
	cache := negativecache.New(negativecache.Time(router.clock.Now()), terms)
	n := &NegativeCache{
		mailbox: make(mailbox, negativeCacheMailboxSize), cache: cache, table: cache.Table,
		clock: router.clock, settings: router.settings, counters: router.counters, log: log, broadcast: broadcast,
	}
	n.figures.Store(&negativecache.Stats{})
	router.negativeCache = n
	return n
}

// Run carries out calls for as long as the process lives.
func (n *NegativeCache) Run() {
	n.mailbox.run(n.log, n.counters, negativeCacheTick, func() { runRecovered(n.log, n.counters, n.tick) })
}

func (n *NegativeCache) tick() {
	if n.writeDropped.Swap(false) {
		n.cache.WriteReportLost()
	}
	n.execute(n.cache.Tick(n.now()))
	figures := n.cache.Stats()
	n.figures.Store(&figures)
}

func (n *NegativeCache) now() negativecache.Time { return negativecache.Time(n.clock.Now()) }

// execute carries out the cache's decisions.
func (n *NegativeCache) execute(decisions []negativecache.Decision) {
	for i := range decisions {
		if d := &decisions[i]; d.Action == negativecache.ActionLog {
			n.log.Info("negative cache: " + d.Text)
		} else if n.broadcast != nil {
			n.broadcast(d)
		}
	}
	n.sentWrites.Store(n.cache.WriteReportsSent())
}

// SentWriteMessages returns how many messages on writes have been sent to other proxies.
func (n *NegativeCache) SentWriteMessages() int64 { return n.sentWrites.Load() }

// Stats returns the cache's figures as of its last tick.
func (n *NegativeCache) Stats() negativecache.Stats { return *n.figures.Load() }

// SetMembers takes the proxies that may write, of so many that operators state. catchingUp means that not all are known yet.
func (n *NegativeCache) SetMembers(all []negativecache.Proxy, stated int, catchingUp bool) {
	n.mailbox.tryPost(func() { n.execute(n.cache.UpdateFleet(n.now(), all, stated, catchingUp)) })
}

// ReceiveWrites takes a message of another proxy on keys that were written. The table has them at once; if the mailbox is
// full the message is lost, which the cache finds out by its number.
func (n *NegativeCache) ReceiveWrites(from string, epoch int64, w negativecache.KeyReport) {
	now := n.now()
	for _, hash := range w.Hashes[:min(len(w.Hashes), maxWriteHashes)] {
		n.table.RecordWrite(hash, now)
	}
	n.mailbox.tryPost(func() { n.execute(n.cache.ReceiveWriteReport(n.now(), from, epoch, w)) })
}

// ReceiveAbsentKeys takes a message of another proxy on keys that the origin lacks, sent age ago.
func (n *NegativeCache) ReceiveAbsentKeys(from string, w negativecache.KeyReport, age negativecache.Time) {
	n.mailbox.tryPost(func() { n.execute(n.cache.ReceiveAbsentReport(n.now(), from, w, age)) })
}

// Clear empties the cache. It returns false if the mailbox is full.
func (n *NegativeCache) Clear() bool {
	return n.mailbox.tryPost(func() { n.execute(n.cache.Flush(n.now())) })
}

// lookUp reports whether the key of a read is known to be absent. A write's key no longer is. It may be called on a nil
// cache, and from any goroutine.
func (n *NegativeCache) lookUp(req *request) bool {
	if n == nil {
		return false
	}
	hash := xxhash.Sum64(req.key)
	if req.value == nil {
		return n.table.Contains(hash, n.now())
	}
	n.table.RecordWrite(hash, n.now())
	if !n.mailbox.tryPost(func() { n.execute(n.cache.WriteAccepted(n.now(), hash)) }) {
		n.writeDropped.Store(true)
	}
	return false
}

// beginFetch notes that a read is about to be sent to the origin. It may be called on a nil cache.
func (n *NegativeCache) beginFetch(attempt *attempt) {
	if n != nil && attempt.request.value == nil {
		attempt.cacheTicket = n.table.BeginFetch(xxhash.Sum64(attempt.request.key))
	}
}

// recordMiss takes the origin's answer that it has no such key.
func (n *NegativeCache) recordMiss(attempt *attempt) {
	hash, ticket := xxhash.Sum64(attempt.request.key), attempt.cacheTicket
	tenant, ok := n.settings.Tenants[attempt.request.tenant]
	if !ok {
		tenant = -1
	}
	n.mailbox.tryPost(func() { n.execute(n.cache.KeyFetchedAbsent(n.now(), hash, ticket, tenant)) })
}
