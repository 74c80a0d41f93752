package negativecache

import "fmt"

const (
	servingLease   = Second / 2 // serving time granted by a fleet update; updates come several times a second
	maxTransitTime = Second / 2 // maximum transit time of a report between proxies, which is not part of the report's age
	catchUpTime    = Second     // time in which a process that was paused reads the reports queued during the pause
)

// Cache is the negative cache of one proxy. Each of its methods reports an event at a time of the caller's monotonic
// clock, and returns the resulting decisions in the order in which they must be executed, in a slice that the next call
// reuses. Calls must not be concurrent. Only the Table may be used from any goroutine.
type Cache struct {
	Table *Table // serves lookups and records writes

	settings Settings
	now      Time
	stats    Stats
	outbox   outbox
	growth   *growthLimiter
	writers  writerSet // other proxies that may write
	hold     flushHold

	catchingUp        bool       // whether this proxy is catching up, by the latest fleet update
	ignoreAbsentUntil Time       // until then, reports of absent keys are rejected because their age is unknown
	decisions         []Decision // decisions of the current call
}

// New returns a cache that serves no absent keys before the first fleet update. The settings must pass their Check
// method.
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

// begin starts the handling of an event and discards the decisions of the previous one.
func (c *Cache) begin(now Time) {
	c.now = max(now, c.now)
	c.decisions = c.decisions[:0]
}

func (c *Cache) logf(format string, args ...any) {
	c.decisions = append(c.decisions, Decision{Action: ActionLog, Text: fmt.Sprintf(format, args...)})
}

// WriteAccepted handles a write that this proxy has accepted. The caller must have recorded it in the table.
func (c *Cache) WriteAccepted(now Time, hash uint64) []Decision {
	c.begin(now)
	if c.outbox.addWritten(hash) {
		c.sendReports()
	}
	return c.decisions
}

// WriteReportLost handles an accepted write that could not be passed to WriteAccepted. The write counts as a write report
// that was sent and lost, so that the other proxies flush their tables.
func (c *Cache) WriteReportLost() { c.outbox.writeSequence++ }

// WriteReportsSent returns the number of write reports that this proxy has sent, to be announced in its heartbeat. A
// report must be sent before a heartbeat that counts it.
func (c *Cache) WriteReportsSent() int64 { return c.outbox.writeSequence }

// KeyFetchedAbsent handles a fetch that found a key absent at the origin. The token is that of the fetch, and the tenant
// is the index of the tenant that requested the key. An index out of range, such as -1, means that there is no tenant.
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

// ReceiveWriteReport handles a report of written keys from another proxy, which is identified by its name and the
// incarnation of its process. A malformed report is counted and ignored.
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
	if incarnation < w.incarnation { // the sequence numbers of an earlier process no longer matter, only its keys do
		return c.decisions
	}
	if incarnation > w.incarnation {
		w.restart(incarnation)
	}
	w.receive(report.Sequence)
	return c.decisions
}

// ReceiveAbsentReport handles a report of absent keys from the named proxy. The age is the time since the report was
// sent, without its transit time. A report that is malformed, or whose age is unknown, is counted and ignored.
func (c *Cache) ReceiveAbsentReport(now Time, from string, report KeyReport, age Time) []Decision {
	c.begin(now)
	if len(report.Hashes) > maxReportKeys || age < 0 || from == c.settings.ProxyName || c.now < c.ignoreAbsentUntil {
		c.stats.RejectedFromPeers++
		return c.decisions
	}
	// the earliest time of the observation, since the age includes neither the wait for the batch nor the transit
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

// UpdateFleet updates the state of all proxies that may write. The parameter configured is the configured number of these
// proxies, and catchingUp is true while this proxy is still catching up with them. UpdateFleet must be called several
// times a second: absent keys are served for half a second after a call, and only if
//   - this proxy is not catching up,
//   - at least the configured number of proxies is known, and each of them is reachable or departed,
//   - every announced write report has arrived, or has been outstanding for less than the configured grace period,
//   - and the origin can no longer apply a write whose report may have been lost.
//
// When write reports may have been lost, the table is flushed.
func (c *Cache) UpdateFleet(now Time, proxies []Proxy, configured int, catchingUp bool) []Decision {
	c.begin(now)
	review := c.reviewFleet(proxies)
	c.stats.AwaitedProxies = review.awaitedProxies
	if catchingUp && !c.catchingUp { // reports were queued during the pause, and their ages are unknown
		review.flushReason = "this proxy was paused or started"
		c.ignoreAbsentUntil = c.now + catchUpTime
	}
	c.catchingUp = catchingUp
	if review.flushReason != "" {
		c.flushTable(review.flushReason)
		if review.holdUntil == 0 {
			review.holdUntil = c.now + c.maxApplyTime()
		}
		c.hold.extend(review.holdUntil)
	}
	if c.hold.expire(c.now) {
		c.Table.flush(c.now)
	}
	c.setServing(review.complete && !catchingUp && len(proxies) >= configured && !c.hold.active, len(proxies))
	return c.decisions
}

// reviewFleet compares the write reports that the other proxies announced with those that arrived.
func (c *Cache) reviewFleet(proxies []Proxy) fleetReview {
	review := fleetReview{now: c.now, grace: c.settings.ReportGrace, maxApplyTime: c.maxApplyTime(), complete: true}
	for i := range proxies {
		if p := &proxies[i]; p.Name != c.settings.ProxyName {
			review.addProxy(c.writers.get(p.Name), p)
		}
	}
	c.writers.retain(proxies)
	return review
}

// maxApplyTime returns the maximum time from the acceptance of a write until the origin applies it. It is half the TTL,
// because the TTL is at least twice the longest request timeout.
func (c *Cache) maxApplyTime() Time { return c.settings.TTL / 2 }

// setServing starts or stops the serving of absent keys. Without a further call, serving ends after servingLease.
func (c *Cache) setServing(serving bool, proxies int) {
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

// flushTable removes all absent keys, because any of them may have been written since it was stored. As there may be
// many flushes, the reason is only logged for the first, the second, the fourth and so on.
func (c *Cache) flushTable(reason string) {
	c.Table.flush(c.now)
	c.outbox.dropAbsent()
	c.stats.Flushes++
	if isPowerOfTwo(c.stats.Flushes) {
		c.logf("flushed absent keys: %s (flush %d)", reason, c.stats.Flushes)
	}
}

func isPowerOfTwo(n int64) bool { return n&(n-1) == 0 }

// Flush flushes the table at the request of an operator.
func (c *Cache) Flush(now Time) []Decision {
	c.begin(now)
	c.flushTable("requested by an operator")
	return c.decisions
}

// Tick sends the reports that are due. It must be called about twenty times a second.
func (c *Cache) Tick(now Time) []Decision {
	c.begin(now)
	if c.outbox.due(c.now) {
		c.sendReports()
	}
	return c.decisions
}

func (c *Cache) sendReports() { c.decisions = c.outbox.appendReports(c.now, c.decisions) }

// Stats returns the current statistics.
func (c *Cache) Stats() Stats {
	stats := c.stats
	stats.Hits = c.Table.hits.Load()
	stats.Stored = c.Table.stored.Load()
	stats.RejectedFull = c.Table.rejectedFull.Load()
	stats.Capacity = c.Table.capacity()
	return stats
}
