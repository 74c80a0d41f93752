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
	// missConfirmation is the time after which an absent key is recorded that was reported on a used connection.
	missConfirmation = 500 * time.Millisecond
	// maxWriteHashes is the maximum number of hashes that are recorded from one write message.
	maxWriteHashes = 1024
)

// NegativeCache is the goroutine of the negative cache, which holds keys that are known to be absent at the origin.
// Client goroutines look up keys and record writes directly in its table, under the table's locks. This goroutine
// decides which messages are sent to other proxies and which of theirs are accepted. Exported methods may be called
// from any goroutine.
type NegativeCache struct {
	mailbox      mailbox
	cache        *negativecache.Cache
	table        *negativecache.Table
	clock        Clock
	settings     *settings.Settings
	counters     *Counters
	log          *zap.Logger
	broadcast    func(d *negativecache.Decision) // sends to other proxies, must not block; nil: there are no other proxies
	writeDropped atomic.Bool                     // a write was not posted because the mailbox was full
	sentWrites   atomic.Int64                    // write messages sent to other proxies
	stats        atomic.Pointer[negativecache.Stats]
}

// NewNegativeCache returns the negative cache of a router. It must be called before the router's Run.
func NewNegativeCache(
	config negativecache.Settings, router *Router, broadcast func(d *negativecache.Decision), log *zap.Logger,
) *NegativeCache {
	cache := negativecache.New(negativecache.Time(router.clock.Now()), config)
	n := &NegativeCache{
		mailbox: make(mailbox, negativeCacheMailboxSize), cache: cache, table: cache.Table,
		clock: router.clock, settings: router.settings, counters: router.counters, log: log, broadcast: broadcast,
	}
	n.stats.Store(&negativecache.Stats{})
	router.negativeCache = n
	return n
}

// Run executes posted calls until the process ends.
func (n *NegativeCache) Run() {
	n.mailbox.run(n.log, n.counters, negativeCacheTick, func() { runRecovered(n.log, n.counters, n.tick) })
}

func (n *NegativeCache) tick() {
	if n.writeDropped.Swap(false) {
		n.cache.WriteReportLost()
	}
	n.execute(n.cache.Tick(n.now()))
	stats := n.cache.Stats()
	n.stats.Store(&stats)
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

// SentWriteMessages returns the number of write messages that have been sent to other proxies.
func (n *NegativeCache) SentWriteMessages() int64 { return n.sentWrites.Load() }

// Stats returns the cache's statistics as of its last tick.
func (n *NegativeCache) Stats() negativecache.Stats { return *n.stats.Load() }

// SetMembers sets the list of proxies that may accept writes. configuredCount is the number of proxies that operators have
// configured. catchingUp means that the list may still be incomplete.
func (n *NegativeCache) SetMembers(all []negativecache.Proxy, configuredCount int, catchingUp bool) {
	n.mailbox.tryPost(func() { n.execute(n.cache.UpdateFleet(n.now(), all, configuredCount, catchingUp)) })
}

// ReceiveWrites handles another proxy's message with hashes of keys that were written. They are recorded in the table
// at once. If the mailbox is full the message itself is lost, which the cache detects by the gap in message numbers.
func (n *NegativeCache) ReceiveWrites(from string, epoch int64, w negativecache.KeyReport) {
	now := n.now()
	for _, hash := range w.Hashes[:min(len(w.Hashes), maxWriteHashes)] {
		n.table.RecordWrite(hash, now)
	}
	n.mailbox.tryPost(func() { n.execute(n.cache.ReceiveWriteReport(n.now(), from, epoch, w)) })
}

// ReceiveAbsentKeys handles another proxy's message with hashes of keys that are absent at the origin. age is the time
// since the message was sent.
func (n *NegativeCache) ReceiveAbsentKeys(from string, w negativecache.KeyReport, age negativecache.Time) {
	n.mailbox.tryPost(func() { n.execute(n.cache.ReceiveAbsentReport(n.now(), from, w, age)) })
}

// Clear empties the cache. It returns false if the mailbox is full.
func (n *NegativeCache) Clear() bool {
	return n.mailbox.tryPost(func() { n.execute(n.cache.Flush(n.now())) })
}

// lookUp reports whether the key of a read is known to be absent. For a write it records the key as written and returns
// false. It may be called on a nil cache, and from any goroutine.
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

// beginFetch records that a read is about to be sent to the origin. It may be called on a nil cache.
func (n *NegativeCache) beginFetch(attempt *attempt) {
	if n != nil && attempt.request.value == nil {
		attempt.fetchToken = n.table.BeginFetch(xxhash.Sum64(attempt.request.key))
	}
}

// recordMiss handles a response from the origin that the key is absent. On a connection that had carried another request the
// response may be a surplus one, in which case the true response follows and the origin becomes distrusted: the key is then
// not recorded, so that one such response does not spread to other requests and proxies.
func (n *NegativeCache) recordMiss(attempt *attempt, conn connUse, origin *upstreamHost) {
	if conn.served == 0 {
		n.postMiss(attempt)
		return
	}
	time.AfterFunc(missConfirmation, func() {
		if !origin.isDistrusted() {
			n.postMiss(attempt)
		}
	})
}

// postMiss records that the key of an attempt is absent at the origin.
func (n *NegativeCache) postMiss(attempt *attempt) {
	hash, token := xxhash.Sum64(attempt.request.key), attempt.fetchToken
	tenant, ok := n.settings.Tenants[attempt.request.tenant]
	if !ok {
		tenant = -1
	}
	n.mailbox.tryPost(func() { n.execute(n.cache.KeyFetchedAbsent(n.now(), hash, token, tenant)) })
}
