package negativecache

import "fmt"

const (
	servingLease   = Second / 2 // how long a fleet update lets absent keys be served; updates come several times a second
	maxTransitTime = Second / 2 // how long a report is in transit between proxies at most; its age does not count that
	catchUpTime    = Second     // in which a process that was paused reads the reports that queued up meanwhile
)

// Cache is the negative cache of one proxy. Its methods report events, at instants of the caller's clock; time does
// not go back. They return the decisions that follow, in the order in which they have to be carried out, in a slice
// that the next call reuses. One goroutine at a time may call them. Only the Table may be used from others.
type Cache struct {
	Table *Table // answers lookups and records writes

	settings Settings
	now      Time
	stats    Stats
	outbox   outbox
	growth   *growthLimiter
	writers  writerSet // the other proxies that may write
	hold     flushHold

	catchingUp        bool // by the latest fleet update
	ignoreAbsentUntil Time // other proxies' reports of absent keys are rejected until then: their age is unknown
	decisions         []Decision
}

// New returns a cache that serves no absent keys before the first fleet update. The settings have to be valid.
func New(now Time, settings Settings) *Cache {
	return &Cache{
		Table:    newTable(settings.Entries, settings.TTL),
		settings: settings,
		now:      now,
		outbox:   outbox{reportedAt: now},
		growth:   newGrowthLimiter(now, settings.MaxNewKeysPerSecond, settings.TenantCount),
		writers:  writerSet{},
	}
}

// begin starts the handling of an event.
func (c *Cache) begin(now Time) {
	c.now = max(now, c.now)
	c.decisions = c.decisions[:0]
}

func (c *Cache) logf(format string, args ...any) {
	c.decisions = append(c.decisions, Decision{Action: ActionLog, Text: fmt.Sprintf(format, args...)})
}

// WriteAccepted reports that this proxy has accepted a write. The caller has already recorded it in the table.
func (c *Cache) WriteAccepted(now Time, hash uint64) []Decision {
	c.begin(now)
	if c.outbox.addWritten(hash) {
		c.sendReports()
	}
	return c.decisions
}

// WriteReportLost reports that an accepted write could not be passed on to this cache. It counts as a write report that
// was sent and lost, so that the other proxies flush their tables.
func (c *Cache) WriteReportLost() { c.outbox.writeSequence++ }

// WriteReportsSent returns how many write reports this proxy has sent, for its heartbeat. A report has to be
// sent before a heartbeat that counts it.
func (c *Cache) WriteReportsSent() int64 { return c.outbox.writeSequence }

// KeyFetchedAbsent reports that the origin has no such key, by a fetch that began with the given token on behalf of
// a tenant, by its index. An index that is out of range, such as -1, is that of no tenant.
func (c *Cache) KeyFetchedAbsent(now Time, hash uint64, token FetchToken, tenant int) []Decision {
	c.begin(now)
	bucket := c.growth.bucket(c.now, tenant)
	if bucket.empty() {
		c.stats.GrowthLimited++
		return c.decisions
	}
	if c.Table.recordAbsent(hash, token, c.now) {
		bucket.take()
		c.outbox.addAbsent(hash)
	}
	return c.decisions
}

// ReceiveWriteReport handles a report of written keys from another proxy, by its name and the incarnation of its
// process. A report that is malformed is counted and ignored.
func (c *Cache) ReceiveWriteReport(now Time, from string, incarnation int64, report KeyReport) []Decision {
	c.begin(now)
	if report.Sequence < 1 || len(report.Hashes) > maxReportKeys || from == c.settings.ProxyName {
		c.stats.RejectedFromPeers++
		return c.decisions
	}
	for _, hash := range report.Hashes {
		c.Table.RecordWrite(hash, c.now)
	}
	w := c.writers.get(from)
	if incarnation < w.incarnation { // its keys are recorded, and the sequence of that process no longer matters
		return c.decisions
	}
	if incarnation > w.incarnation {
		w.restart(incarnation)
	}
	w.receive(report.Sequence)
	return c.decisions
}

// ReceiveAbsentReport handles a report of absent keys from another proxy, by its name. The age is how long ago the
// report was sent, not counting its time in transit. A report that is malformed, or whose age can't be known, is counted
// and ignored.
func (c *Cache) ReceiveAbsentReport(now Time, from string, report KeyReport, age Time) []Decision {
	c.begin(now)
	if len(report.Hashes) > maxReportKeys || age < 0 || from == c.settings.ProxyName || c.now < c.ignoreAbsentUntil {
		c.stats.RejectedFromPeers++
		return c.decisions
	}
	// the earliest instant of the observation: it waited for its batch, and the age does not count the transit
	observedAt := c.now - age - batchInterval - maxTransitTime
	for _, hash := range report.Hashes {
		if c.Table.recordPeerAbsent(hash, observedAt, c.now) {
			c.stats.PeerEntries++
		} else {
			c.stats.RejectedFromPeers++
		}
	}
	return c.decisions
}

// UpdateFleet reports the state of all proxies that may write, of which the operators configured so many, and whether
// this proxy is still catching up with them. It is to be called several times a second: absent keys are served only for
// half a second after a call, while
//   - as many proxies as configured are known, and each that has not departed is reachable,
//   - each write report that they announced arrived, or has not been outstanding for longer than the configured grace,
//   - and no write that was not reported may still be applied at the origin.
//
// When write reports may have been lost, the table is flushed.
func (c *Cache) UpdateFleet(now Time, proxies []Proxy, configured int, catchingUp bool) []Decision {
	c.begin(now)
	review := c.reviewFleet(proxies)
	c.stats.AwaitedProxies = review.awaitedProxies
	if catchingUp && !c.catchingUp { // reports queued up meanwhile, and their ages are unknown
		review.flushReason = "this proxy was paused or started"
		c.ignoreAbsentUntil = c.now + catchUpTime
	}
	c.catchingUp = catchingUp
	if review.flushReason != "" {
		c.flushTable(review.flushReason)
		if review.holdUntil == 0 {
			review.holdUntil = c.now + c.applyTime()
		}
		c.hold.extend(review.holdUntil)
	}
	if c.hold.expire(c.now) {
		c.Table.flush(c.now)
	}
	c.serve(review.complete && !catchingUp && len(proxies) >= configured && !c.hold.active, len(proxies))
	return c.decisions
}

// reviewFleet compares the write reports that all other proxies announced with those that arrived.
func (c *Cache) reviewFleet(proxies []Proxy) fleetReview {
	review := fleetReview{now: c.now, grace: c.settings.ReportGrace, applyTime: c.applyTime(), complete: true}
	for i := range proxies {
		if p := &proxies[i]; p.Name != c.settings.ProxyName {
			review.proxy(c.writers.get(p.Name), p)
		}
	}
	c.writers.retain(proxies)
	return review
}

// applyTime is how long the origin may still apply a write after it was accepted: half the TTL, as the TTL is at least
// twice the longest request timeout.
func (c *Cache) applyTime() Time { return c.settings.TTL / 2 }

// serve has absent keys served until the next fleet update is overdue, or not at all.
func (c *Cache) serve(serving bool, proxies int) {
	if serving != c.stats.Serving {
		c.stats.Serving = serving
		c.logf("serving absent keys: %v, with %d proxies, %d of them with outstanding write reports",
			serving, proxies, c.stats.AwaitedProxies)
	}
	if serving {
		c.Table.serveUntil(c.now + servingLease)
	} else {
		c.Table.serveUntil(0)
	}
}

// flushTable removes all absent keys, as it is not known which were written since. The reason is logged at the first
// flush, the second, the fourth and so on, since flushes may come in numbers.
func (c *Cache) flushTable(reason string) {
	c.Table.flush(c.now)
	c.outbox.dropAbsent()
	c.stats.Flushes++
	if isPowerOfTwo(c.stats.Flushes) {
		c.logf("flushed absent keys: %s (flush %d)", reason, c.stats.Flushes)
	}
}

func isPowerOfTwo(n int64) bool { return n&(n-1) == 0 }

// Flush flushes the table at an operator's request.
func (c *Cache) Flush(now Time) []Decision {
	c.begin(now)
	c.flushTable("requested by an operator")
	return c.decisions
}

// Tick sends reports that are due. It is to be called some twenty times a second.
func (c *Cache) Tick(now Time) []Decision {
	c.begin(now)
	if c.outbox.due(c.now) {
		c.sendReports()
	}
	return c.decisions
}

func (c *Cache) sendReports() { c.decisions = c.outbox.appendReports(c.now, c.decisions) }

// Stats returns the statistics up to now.
func (c *Cache) Stats() Stats {
	stats := c.stats
	stats.Hits = c.Table.hits.Load()
	stats.Stored = c.Table.stored.Load()
	stats.RejectedFull = c.Table.rejectedFull.Load()
	stats.Capacity = c.Table.capacity()
	return stats
}
